package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.consensus.Connectivity;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Install;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;
import ringspindle.protocol.NodeId;

/** Faults planted around the real machine, each with the properties of which one has to be seen broken. */
enum ModelPlanted {
    /** A write counts as synced as soon as it is handed to the disk. */
    SKIPPED_SYNC(EnumSet.of(ModelViolation.Kind.FEW_COPIES, ModelViolation.Kind.LOST)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new SkippedSync(real);
        }
    },
    /** A head answers before its followers have the order. */
    EARLY_ACKNOWLEDGEMENT(EnumSet.of(ModelViolation.Kind.FEW_COPIES)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new EarlyAcknowledgement(real);
        }
    },
    /**
     * Messages of any epoch are taken for ones of the view in force, any epoch is confirmed, and a node that a newer view
     * leaves out goes on in the older one. Confirmations alone would not show: a node that was left behind learns of the new
     * view as soon as a connection opens.
     */
    EPOCH_NOT_COMPARED(EnumSet.of(ModelViolation.Kind.OLD_READ, ModelViolation.Kind.NOT_LINEARIZABLE)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new EpochNotCompared(real, me);
        }
    },
    /** Promises and acceptances are not on the disk after a restart. */
    LOST_PROMISE(EnumSet.of(ModelViolation.Kind.TWO_VIEWS, ModelViolation.Kind.LOST, ModelViolation.Kind.DIVERGED)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new LostPromise(real);
        }
    },
    /** A member that misses a voter decides alone to go on without it. */
    VOTER_REMOVED_ALONE(EnumSet.of(ModelViolation.Kind.TWO_VIEWS)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new VoterRemovedAlone(real, me);
        }
    },
    /** Any node answers reads from what it holds. */
    READ_NOT_CONFIRMED(EnumSet.of(ModelViolation.Kind.OLD_READ, ModelViolation.Kind.NOT_LINEARIZABLE)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new ReadNotConfirmed(real);
        }
    },
    /** An order is taken whatever it rests on. */
    BASE_NOT_COMPARED(EnumSet.of(ModelViolation.Kind.TWO_WINNERS)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new BaseNotCompared(real, bases);
        }
    },
    /** Images leave out which orders were taken. */
    FORGOTTEN_PAST(EnumSet.of(ModelViolation.Kind.REFUSED_AGAIN, ModelViolation.Kind.DIVERGED)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new ForgottenPast(real);
        }
    },
    /** An evacuation that was passed on arrives a second time two seconds later, and does not say what it replaces. */
    DELAYED_ORDER(EnumSet.of(ModelViolation.Kind.CAME_BACK)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new DelayedOrder(real);
        }
    },
    /** One member applies another order than the others. */
    OTHER_ORDER(EnumSet.of(ModelViolation.Kind.DIVERGED)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new OtherOrder(real, me);
        }
    },
    /** Nobody promises anything, so that no new view comes about. */
    NO_PROMISES(EnumSet.of(ModelViolation.Kind.NO_PROGRESS)) {
        @Override
        ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases) {
            return new NoPromises(real);
        }
    };

    private final Set<ModelViolation.Kind> seenAs;

    ModelPlanted(Set<ModelViolation.Kind> seenAs) {
        this.seenAs = seenAs;
    }

    /** Properties of which one must be reported broken. */
    Set<ModelViolation.Kind> seenAs() {
        return seenAs;
    }

    /** The faults under which it shows: a lost promise only while more nodes stop than may lose their disks. */
    ModelPlan.Mix mix() {
        return this == LOST_PROMISE ? ModelPlan.Mix.STORM : ModelPlan.Mix.LOSSES;
    }

    /** {@code bases} is shared by the machines of one run. */
    abstract ReplicatedState around(ReplicatedState real, NodeId me, Map<String, Long> bases);

    /** Creates real machines with the fault around them, for one run. */
    ModelFactory factory() {
        Map<String, Long> bases = new HashMap<>();
        return (me, seeds, bootstrap, found, luck, leastVoters) ->
                around(ModelFactory.REAL.create(me, seeds, bootstrap, found, luck, leastVoters), me, bases);
    }

    private static final class SkippedSync extends ModelTamper {
        SkippedSync(ReplicatedState real) {
            super(real);
        }

        private List<Output> synced(List<Output> outs, long nowMs) {
            List<Output> all = new ArrayList<>(outs);
            for (int i = 0; i < all.size(); i++) {
                if (all.get(i) instanceof Output.Store store) {
                    all.addAll(inner.recordsSynced(store.token(), nowMs));
                }
            }
            return all;
        }

        @Override
        public List<Output> receive(NodeId from, Message m, long nowMs) {
            return synced(super.receive(from, m, nowMs), nowMs);
        }

        @Override
        public List<Output> call(Call c, long nowMs) {
            return synced(super.call(c, nowMs), nowMs);
        }

        @Override
        public List<Output> tick(long nowMs, Connectivity connectivity) {
            return synced(super.tick(nowMs, connectivity), nowMs);
        }

        @Override
        public List<Output> recordsSynced(long token, long nowMs) {
            return List.of();
        }
    }

    private static final class EarlyAcknowledgement extends ModelTamper {
        EarlyAcknowledgement(ReplicatedState real) {
            super(real);
        }

        @Override
        public List<Output> call(Call c, long nowMs) {
            List<Output> outs = new ArrayList<>(super.call(c, nowMs));
            if (outs.stream().anyMatch(out -> out instanceof Output.Store)) {
                outs.add(new Output.Answer(c.id(), Outcome.TAKEN, new byte[0]));
            }
            return outs;
        }
    }

    private static final class EpochNotCompared extends ModelTamper {
        private final NodeId me;

        EpochNotCompared(ReplicatedState real, NodeId me) {
            super(real);
            this.me = me;
        }

        @Override
        public List<Output> receive(NodeId from, Message m, long nowMs) {
            if (m instanceof Confirm confirm) {
                return List.of(new Output.Send(from, new Confirmed(confirm.epoch(), confirm.id(), true)));
            }
            if (m instanceof Decided decided && !decided.view().chain().contains(me)) {
                return List.of();
            }
            return super.receive(from, view() == null ? m : ofThisView(m, view().epoch()), nowMs);
        }

        private static Message ofThisView(Message m, long epoch) {
            if (m instanceof Entry entry) {
                return new Entry(epoch, entry.seq(), entry.op());
            }
            if (m instanceof Install install) {
                return new Install(epoch, install.seq(), install.image());
            }
            return m instanceof Synced synced ? new Synced(epoch, synced.seq()) : m;
        }
    }

    private static final class LostPromise extends ModelTamper {
        LostPromise(ReplicatedState real) {
            super(real);
        }

        private static Message forget(Message record) {
            return record instanceof Vote vote
                    ? new Vote(vote.view() == null ? 0 : vote.view().epoch(), 0, 0, null, vote.view())
                    : record;
        }

        private static Output forget(Output out) {
            if (out instanceof Output.Store store) {
                List<Message> records =
                        store.records().stream().map(LostPromise::forget).toList();
                return new Output.Store(store.token(), records, store.snapshot());
            }
            return out;
        }

        private static List<Output> forget(List<Output> outs) {
            return outs.stream().map(LostPromise::forget).toList();
        }

        @Override
        public List<Output> receive(NodeId from, Message m, long nowMs) {
            return forget(super.receive(from, m, nowMs));
        }

        @Override
        public List<Output> tick(long nowMs, Connectivity connectivity) {
            return forget(super.tick(nowMs, connectivity));
        }

        @Override
        public List<Output> recordsSynced(long token, long nowMs) {
            return forget(super.recordsSynced(token, nowMs));
        }
    }

    private static final class VoterRemovedAlone extends ModelTamper {
        private final NodeId me;

        VoterRemovedAlone(ReplicatedState real, NodeId me) {
            super(real);
            this.me = me;
        }

        @Override
        public List<Output> tick(long nowMs, Connectivity connectivity) {
            View view = view();
            if (view != null && view.voters().contains(me)) {
                List<NodeId> linked = view.voters().stream()
                        .filter(v -> v.equals(me) || connectivity.connected(me, v))
                        .toList();
                if (linked.size() < view.voters().size()) {
                    super.receive(me, new Decided(ModelViews.next(view, linked, linked)), nowMs);
                }
            }
            return super.tick(nowMs, connectivity);
        }
    }

    private static final class ReadNotConfirmed extends ModelTamper {
        ReadNotConfirmed(ReplicatedState real) {
            super(real);
        }

        @Override
        public List<Output> call(Call c, long nowMs) {
            State state = committed();
            if (c.kind() == CallKind.READ.code() && state != null && state.config().length > 0) {
                return List.of(new Output.Answer(c.id(), Outcome.TAKEN, state.config()));
            }
            return super.call(c, nowMs);
        }
    }

    private static final class BaseNotCompared extends ModelTamper {
        private final Map<String, Long> bases;

        BaseNotCompared(ReplicatedState real, Map<String, Long> bases) {
            super(real);
            this.bases = bases;
        }

        @Override
        public List<Output> call(Call c, long nowMs) {
            State state = committed();
            if (c.kind() == CallKind.PUT.code() && state != null) {
                // the same when it is sent again, so that only the first comparison is left out
                long base = bases.computeIfAbsent(new String(c.body(), UTF_8), k -> state.revision());
                return super.call(new Call(c.id(), c.kind(), base, c.arg(), c.body()), nowMs);
            }
            return super.call(c, nowMs);
        }
    }

    private static final class ForgottenPast extends ModelTamper {
        ForgottenPast(ReplicatedState real) {
            super(real);
        }

        @Override
        public List<Output> receive(NodeId from, Message m, long nowMs) {
            if (m instanceof Install install) {
                State s = (State) Codec.decode(install.image());
                State less = new State(s.lineage(), s.seq(), s.revision(), List.of(), s.marks(), s.config());
                return super.receive(from, new Install(install.epoch(), install.seq(), Codec.encode(less)), nowMs);
            }
            return super.receive(from, m, nowMs);
        }
    }

    private static final class DelayedOrder extends ModelTamper {
        private static final long DELAY_MS = 2000;

        private record Late(NodeId from, Call call, long dueMs) {}

        private final ArrayDeque<Late> late = new ArrayDeque<>();

        DelayedOrder(ReplicatedState real) {
            super(real);
        }

        @Override
        public List<Output> receive(NodeId from, Message m, long nowMs) {
            if (m instanceof Call call && call.kind() == CallKind.EVACUATE.code()) {
                late.add(new Late(from, call.since(Long.MAX_VALUE), nowMs + DELAY_MS));
            }
            return super.receive(from, m, nowMs);
        }

        @Override
        public List<Output> tick(long nowMs, Connectivity connectivity) {
            List<Output> outs = new ArrayList<>();
            while (!late.isEmpty() && late.peek().dueMs() <= nowMs) {
                Late next = late.poll();
                outs.addAll(super.receive(next.from(), next.call(), nowMs));
            }
            outs.addAll(super.tick(nowMs, connectivity));
            return outs;
        }
    }

    private static final class OtherOrder extends ModelTamper {
        private final Map<Long, Entry> changed = new HashMap<>();
        private final boolean tampers;

        OtherOrder(ReplicatedState real, NodeId me) {
            super(real);
            tampers = me.equals(ModelWorld.address(1));
        }

        @Override
        public List<Output> receive(NodeId from, Message m, long nowMs) {
            if (tampers
                    && m instanceof Entry entry
                    && Codec.decode(entry.op()) instanceof Op op
                    && op.kind() == CallKind.EVACUATE.code()) {
                Op other = new Op(op.kind(), op.base(), op.revision(), op.digest(), op.arg() + "-other", op.body());
                Entry tampered = changed.computeIfAbsent(
                        entry.seq(), k -> new Entry(entry.epoch(), entry.seq(), Codec.encode(other)));
                return super.receive(from, tampered, nowMs);
            }
            return super.receive(from, m, nowMs);
        }
    }

    private static final class NoPromises extends ModelTamper {
        NoPromises(ReplicatedState real) {
            super(real);
        }

        @Override
        public List<Output> receive(NodeId from, Message m, long nowMs) {
            return m instanceof Prepare ? List.of() : super.receive(from, m, nowMs);
        }
    }
}
