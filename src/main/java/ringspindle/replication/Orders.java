package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import ringspindle.api.Outcome;
import ringspindle.consensus.Replica;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.Reply;
import ringspindle.protocol.NodeId;

/**
 * Orders and readings on their way: held by the node that took them from a caller, passed to the head or tail of the view,
 * decided there, and answered. A node that took a call passes it on again in the next view; a caller gets one answer.
 */
final class Orders implements Replication.Listener {
    /** How long an order is held before its caller is told that nothing is clear. */
    private static final long HELD_MS = 950;

    private static final long HELD_CONFIG_MS = 2500;
    private static final long UNSENT = -1;
    private static final byte[] NONE = {};

    /** A call that is not answered yet. */
    private static final class Held {
        final NodeId origin;
        final Call call;
        final long sinceMs;
        long sentEpoch = UNSENT;

        Held(NodeId origin, Call call, long sinceMs) {
            this.origin = origin;
            this.call = call;
            this.sinceMs = sinceMs;
        }
    }

    /**
     * An answer that changes nothing and so rests on this node's state alone: a reading, a refusal, or "already so". It goes
     * out only after a majority of voters confirmed, later than the call came, that the view is still the newest.
     *
     * @param decision what was decided on the state of that number; null for a reading, which is made once it is confirmed
     */
    private record Unconfirmed(Held held, Content.Decision decision, long seq, long sinceMs, Set<NodeId> confirmedBy) {}

    /** A confirmed answer that waits until all that it rests on is committed. */
    private record Waiting(Held held, Content.Decision decision, long seq) {}

    private final Replica replica;
    private final OutputQueue outputs;
    private final BooleanSupplier takesOrders;
    private final Content content = new Content();
    private final Map<NodeId, Map<Long, Held>> held = new TreeMap<>();
    private final Long2ObjectMap<Unconfirmed> unconfirmed = new Long2ObjectLinkedOpenHashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    /** Answered while {@link #held} was walked through. */
    private final List<Held> answered = new ArrayList<>();

    private Replication replication;
    private long nextConfirm;

    /**
     * @param takesOrders false while too few voters could keep what would be acknowledged
     */
    Orders(Replica replica, OutputQueue outputs, Random random, BooleanSupplier takesOrders) {
        this.replica = replica;
        this.outputs = outputs;
        this.takesOrders = takesOrders;
        // numbers of an earlier life of this node must not be taken for this one's
        nextConfirm = random.nextLong();
    }

    /** Where orders are appended and readings are made. */
    void over(Replication replication) {
        this.replication = replication;
    }

    // ---- calls come in

    /** A caller's own call. */
    void take(Call call) {
        hold(replica.self(), call.since(knownVersion(call)));
    }

    /** How new what a caller's order may replace is, as far as this node knows; orders on revisions name theirs. */
    private long knownVersion(Call call) {
        Mark mark =
                switch (CallKind.of(call.kind())) {
                    case EVACUATE, RESTORE -> Content.mark(replication.last(), MarkKind.EVACUATED, call.arg());
                    case ROLLOUT -> Content.mark(replication.last(), MarkKind.ROLLOUT, call.arg());
                    default -> null;
                };
        return mark == null ? call.base() : Math.max(call.base(), mark.version());
    }

    /** A call that another node took; whoever passes it on asks the next view's head anew, so it must not wait here for that. */
    void onCall(NodeId from, Call call) {
        if (replica.view() != null && target(call).equals(replica.self())) {
            hold(from, call);
        }
    }

    private NodeId target(Call call) {
        return call.kind() == CallKind.READ.code()
                ? replica.view().tail()
                : replica.view().head();
    }

    private void hold(NodeId origin, Call call) {
        held.computeIfAbsent(origin, k -> new TreeMap<>()).put(call.id(), new Held(origin, call, replica.nowMs()));
        goOn();
    }

    /** A new view: others ask anew; what was decided and not answered is decided anew. */
    void startView() {
        unconfirmed.clear();
        waiting.clear();
        held.keySet().removeIf(origin -> !origin.equals(replica.self()));
        goOn();
    }

    /** A connection stands anew: what was passed on over an older one may be lost. */
    void onOpened(NodeId peer) {
        if (replica.view() == null) {
            return;
        }
        if (peer.equals(replica.view().head()) || peer.equals(replica.view().tail())) {
            held.getOrDefault(replica.self(), Map.of()).values().stream()
                    .filter(h -> target(h.call).equals(peer))
                    .forEach(h -> h.sentEpoch = UNSENT);
        }
        goOn();
    }

    /** Passes on or decides what has not been in this view. */
    void goOn() {
        if (held.isEmpty() || !replica.participates()) {
            return;
        }
        for (Map<Long, Held> calls : held.values()) {
            for (Held call : calls.values()) {
                // whoever asked before a pause of this node has long asked elsewhere, and may have gone on from there
                if (call.sentEpoch != replica.epoch() && !overdue(call)) {
                    goOn(call);
                }
            }
        }
        answered.forEach(this::forget);
        answered.clear();
    }

    private void goOn(Held call) {
        NodeId target = target(call.call);
        if (!target.equals(replica.self())) {
            if (call.origin.equals(replica.self()) && (!replica.linksKnown() || replica.linked(target))) {
                call.sentEpoch = replica.epoch();
                outputs.send(target, call.call);
            }
            return;
        }
        boolean reading = call.call.kind() == CallKind.READ.code();
        if (replication.established() && (reading || takesOrders.getAsBoolean())) {
            call.sentEpoch = replica.epoch();
            if (reading) {
                confirm(call, null);
            } else {
                decide(call);
            }
        }
    }

    private void forget(Held call) {
        Map<Long, Held> calls = held.get(call.origin);
        if (calls != null) {
            calls.remove(call.call.id());
        }
    }

    private boolean overdue(Held call) {
        boolean config = CallKind.of(call.call.kind()).changesConfiguration();
        return replica.nowMs() - call.sinceMs >= (config ? HELD_CONFIG_MS : HELD_MS);
    }

    /** Gives up what was held for too long: its caller is told that nothing is clear. */
    void tick() {
        for (Map<Long, Held> calls : held.values()) {
            calls.values().removeIf(call -> {
                boolean overdue = overdue(call);
                if (overdue && call.origin.equals(replica.self())) {
                    outputs.emit(new ReplicatedState.Out.Answer(call.call.id(), Outcome.UNCLEAR, NONE));
                }
                return overdue;
            });
        }
        unconfirmed.values().removeIf(u -> replica.nowMs() - u.sinceMs() > HELD_CONFIG_MS);
    }

    // ---- decisions

    private void decide(Held call) {
        Content.Decision decision = content.decide(replication.last(), call.call);
        if (decision.op() != null) {
            replication.append(decision.op(), call.origin, call.call.id());
        } else {
            confirm(call, decision);
        }
    }

    /** Asks the voters whether this view is still the newest, before an answer that rests on the state held here. */
    private void confirm(Held call, Content.Decision decision) {
        long id = nextConfirm++;
        unconfirmed.put(
                id, new Unconfirmed(call, decision, replication.last().seq(), replica.nowMs(), new TreeSet<>()));
        replica.view().voters().forEach(voter -> outputs.send(voter, new Confirm(replica.epoch(), id)));
    }

    void onConfirmed(NodeId from, Confirmed confirmation) {
        Unconfirmed answer = unconfirmed.get(confirmation.id());
        boolean counts = answer != null
                && confirmation.ok()
                && replica.view() != null
                && confirmation.epoch() == replica.epoch()
                && replica.view().voters().contains(from)
                && replication.established();
        if (!counts) {
            return;
        }
        answer.confirmedBy().add(from);
        if (answer.confirmedBy().size() < replica.view().majority()) {
            return;
        }
        unconfirmed.remove(confirmation.id());
        if (answer.decision() == null) {
            answerReading(answer.held());
        } else if (replication.committed().seq() >= answer.seq()) {
            answer(answer.held(), answer.decision().outcome(), answer.decision().body());
        } else {
            waiting.add(new Waiting(answer.held(), answer.decision(), answer.seq()));
        }
    }

    private void answerReading(Held reading) {
        byte[] found = replication.committed().config();
        if (reading.call.arg().equals(CallKind.RULES_ARGUMENT)) {
            Mark rules = Content.mark(replication.committed(), MarkKind.RULES, "");
            found = rules == null ? NONE : rules.value().getBytes(UTF_8);
        }
        answer(reading, found.length == 0 ? Outcome.NO_SUCH : Outcome.TAKEN, found);
    }

    // ---- answers

    @Override
    public void acknowledged(NodeId origin, long call) {
        Map<Long, Held> calls = held.get(origin);
        if (calls != null && calls.containsKey(call)) {
            answered.add(calls.get(call));
        }
        reply(origin, call, Outcome.TAKEN, NONE);
    }

    @Override
    public void committed(long seq) {
        waiting.removeIf(answer -> {
            boolean due = answer.seq() <= seq;
            if (due) {
                answer(
                        answer.held(),
                        answer.decision().outcome(),
                        answer.decision().body());
            }
            return due;
        });
        goOn();
    }

    private void answer(Held call, Outcome outcome, byte[] body) {
        answered.add(call);
        reply(call.origin, call.call.id(), outcome, body);
    }

    private void reply(NodeId origin, long call, Outcome outcome, byte[] body) {
        if (origin.equals(replica.self())) {
            outputs.emit(new ReplicatedState.Out.Answer(call, outcome, body));
        } else {
            outputs.send(origin, new Reply(call, outcome.ordinal(), body));
        }
    }

    /** The answer of the head or tail to a call that was taken here. */
    void onReply(Reply reply) {
        Map<Long, Held> calls = held.get(replica.self());
        boolean known = reply.outcome() >= 0 && reply.outcome() < Outcome.values().length;
        if (known && calls != null && calls.remove(reply.id()) != null) {
            outputs.emit(new ReplicatedState.Out.Answer(reply.id(), Outcome.values()[reply.outcome()], reply.body()));
        }
    }

    @Override
    public String toString() {
        return "held " + held.values().stream().mapToInt(Map::size).sum();
    }
}
