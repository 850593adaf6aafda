package ringspindle.replication;

import java.util.List;
import java.util.Random;
import ringspindle.consensus.Connectivity;
import ringspindle.consensus.LocalState;
import ringspindle.consensus.ReplicaContext;
import ringspindle.consensus.ViewConsensus;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Install;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.Reply;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;
import ringspindle.protocol.NodeId;

/**
 * Chain replication under views decided by consensus. The head of a new view is the promising voter with the newest
 * state, so that nothing acknowledged is lost. This class dispatches each input to the component responsible.
 */
final class ChainReplicatedState implements ReplicatedState {
    /** How long a node that promised another view may still answer for the old one. */
    private static final long MAX_FENCED_MS = 1500;

    private final ViewConsensus consensus;
    private final ReplicaContext replica;
    private final OutputQueue outputs;
    private final ChainMember member;
    private final CallPipeline calls;
    private boolean initialStatePersisted;

    ChainReplicatedState(
            NodeId self, List<NodeId> seeds, boolean bootstrap, List<Message> records, long randomSeed, int minVoters) {
        Random random = new Random(randomSeed);
        outputs = new OutputQueue(self);
        consensus = new ViewConsensus(
                new ViewConsensus.Settings(self, seeds, bootstrap, minVoters),
                random,
                // drawn apart, so that the choices of a recorded seed stay as they are
                new Random(~randomSeed).nextLong(),
                outputs,
                new LocalStateAdapter());
        replica = consensus.replica();
        member = new ChainMember(consensus, outputs, new CommitListener());
        calls = new CallPipeline(
                replica, outputs, member, random.nextLong(), () -> !consensus.awaitingVoters(replica.nowMs()));
        records.forEach(this::restore);
        if (!replica.participates() && bootstrap && seeds.contains(self)) {
            bootstrap(seeds);
        }
    }

    private void restore(Message record) {
        if (record instanceof Vote vote) {
            consensus.restore(vote);
        } else if (record instanceof State state) {
            member.restore(state);
        } else if (record instanceof Entry entry) {
            member.restore(entry);
        }
    }

    /** Bootstraps a new system with its seeds as the first voters. */
    private void bootstrap(List<NodeId> seeds) {
        consensus.bootstrap(seeds);
        member.restore(ControlState.initial());
    }

    // ---- queries

    @Override
    public View view() {
        return replica.view();
    }

    @Override
    public State committed() {
        return member.committed();
    }

    @Override
    public boolean upToDate(long nowMs) {
        if (replica.view() == null || !consensus.hasRecentQuorum(nowMs)) {
            return false;
        }
        if (!replica.votes()) {
            // a node beyond the maximum number of voters is a learner: it forwards calls and receives the committed
            // state as facts
            return consensus.hasMaxVoters() && replica.participates();
        }
        return committed() != null
                && member.belongsToCurrentView()
                && replica.inChain()
                && !consensus.fencedFor(MAX_FENCED_MS);
    }

    @Override
    public boolean relearning() {
        return !replica.participates();
    }

    @Override
    public boolean awaitingVoters(long nowMs) {
        return consensus.awaitingVoters(nowMs);
    }

    @Override
    public List<Message> durableRecords() {
        return List.of(consensus.vote(), member.latest());
    }

    /** A description of the internal state, for tests and logs. */
    String describe() {
        View view = replica.view();
        return "view " + (view == null ? null : view.epoch() + " " + view.chain()) + " " + consensus + " " + member
                + " " + calls;
    }

    // ---- inputs

    @Override
    public List<Output> receive(NodeId from, Message message, long nowMs) {
        replica.advanceTo(nowMs);
        persistInitialState();
        dispatch(from, message);
        return drainOutputs();
    }

    @Override
    public List<Output> recordsSynced(long token, long nowMs) {
        replica.advanceTo(nowMs);
        outputs.synced(token);
        return drainOutputs();
    }

    @Override
    public List<Output> connectionOpened(NodeId peer, long nowMs) {
        replica.advanceTo(nowMs);
        persistInitialState();
        consensus.onConnectionOpened(peer);
        member.onConnectionOpened(peer);
        calls.onConnectionOpened(peer);
        return drainOutputs();
    }

    @Override
    public List<Output> call(Call call, long nowMs) {
        replica.advanceTo(nowMs);
        persistInitialState();
        calls.submit(call);
        return drainOutputs();
    }

    @Override
    public List<Output> tick(long nowMs, Connectivity connectivity) {
        consensus.observe(nowMs, connectivity);
        persistInitialState();
        calls.tick();
        consensus.requestMissingState();
        if (replica.participates()) {
            calls.process();
            member.tick();
            consensus.proposeIfDue();
        }
        return drainOutputs();
    }

    private List<Output> drainOutputs() {
        for (Message message = outputs.pollSelf(); message != null; message = outputs.pollSelf()) {
            dispatch(replica.self(), message);
        }
        return outputs.drain();
    }

    /** Persists the first view and state before anything else is sent or written. */
    private void persistInitialState() {
        if (initialStatePersisted || !replica.participates()) {
            return;
        }
        initialStatePersisted = true;
        outputs.emit(new Output.ViewChanged(replica.view()));
        member.persistInitialState();
    }

    private void dispatch(NodeId from, Message message) {
        if (consensus.receive(from, message)) {
            return;
        }
        if (message instanceof Install install) {
            member.onInstall(from, install);
        } else if (message instanceof Entry entry) {
            member.onEntry(from, entry);
        } else if (message instanceof Synced synced) {
            member.onSynced(from, synced);
        } else if (message instanceof Confirmed confirmed) {
            calls.onConfirmed(from, confirmed);
        } else if (message instanceof Call call) {
            calls.onCall(from, call);
        } else if (message instanceof Reply reply) {
            calls.onReply(reply);
        }
    }

    /** Notifies pending calls of what the chain commits. */
    private final class CommitListener implements ChainMember.Listener {
        @Override
        public void acknowledged(CallId call) {
            calls.acknowledged(call);
        }

        @Override
        public void committed(long seq) {
            calls.committed(seq);
        }
    }

    /** Gives view consensus access to the state held here. */
    private final class LocalStateAdapter implements LocalState {
        @Override
        public Position position() {
            return member.position();
        }

        @Override
        public boolean belongsToCurrentView() {
            return member.belongsToCurrentView();
        }

        @Override
        public boolean stalledFor(long ms) {
            return member.stalledFor(ms);
        }

        @Override
        public void onViewStarted(View view) {
            outputs.emit(new Output.ViewChanged(view));
            member.startView();
            calls.startView();
        }

        @Override
        public void onRelearned(View view) {
            outputs.emit(new Output.ViewChanged(view));
            member.resetAfterRelearning();
        }
    }
}
