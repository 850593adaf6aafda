package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import ringspindle.api.Outcome;
import ringspindle.consensus.Connectivity;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.logging.LogField;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;
import ringspindle.replication.CallKind;
import ringspindle.replication.ReplicatedState;

/**
 * Feeds the replicated state with events and carries out what it orders. Thread safe.
 *
 * <p>Owns the {@link ReplicatedState}, guarded by {@link #lock}. While the lock is held, what is ordered goes to mesh, disk
 * and thread pool: replicas rely on messages and records in the order in which they were decided, and two threads that
 * sent after they released the lock could overtake each other. None of the three runs foreign code on the calling thread:
 * they only queue. The lock of {@link FleetState} may be taken while this one is held, never the other way round.
 */
public final class ReplicationDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final byte[] NO_BODY = {};

    /** Notified of committed states, oldest first, while the lock is held: it must not block. */
    interface CommitListener {
        /** A newer state is committed. */
        void committed(State state);
    }

    /** How far the replicated state of this node is. */
    public enum Phase {
        /** What was promised before a disk was lost is being relearned. */
        RELEARNING,
        /** A first start still waits for voters. */
        FOUNDING,
        /** It votes and holds state. */
        ACTIVE
    }

    /**
     * The replicated state at one moment.
     *
     * @param view the newest view, null if unknown
     * @param committed the committed state, null while unknown
     * @param blank this node can neither vote nor hold state
     */
    public record Status(View view, State committed, boolean blank) {
        /** The view's epoch, 0 without a view. */
        public long epoch() {
            return view == null ? 0 : view.epoch();
        }

        /** The sequence number of the committed state, -1 without one. */
        public long sequence() {
            return committed == null ? -1 : committed.seq();
        }
    }

    /**
     * The replicated state after a tick.
     *
     * @param view the newest view, null if unknown
     * @param blank this node can neither vote nor hold state
     * @param current this node hears of all that is committed
     */
    record TickResult(View view, boolean blank, boolean current) {}

    private final Object lock = new Object();
    private final NodeContext context;
    private final ReplicatedState state;
    private final PendingCalls calls;
    private final RecordLog records;
    private final QuorumTracker quorum;
    private final CommitListener commits;

    /**
     * Drives one replicated state.
     *
     * @param calls calls of this node that wait for their outcome
     */
    ReplicationDriver(
            NodeContext context,
            ReplicatedState state,
            PendingCalls calls,
            RecordLog records,
            QuorumTracker quorum,
            CommitListener commits) {
        this.context = context;
        this.state = state;
        this.calls = calls;
        this.records = records;
        this.quorum = quorum;
        this.commits = commits;
    }

    /** How many voters it takes to bear the loss of so many disks at once. */
    static int votersWanted(int losses) {
        return 2 * losses + 1;
    }

    /** Opens the storage: from now on records are written. */
    void open() {
        records.open(this::stored, this::compact);
    }

    /**
     * Passes a call to the replicated state, which holds it for a moment while this node is just starting; otherwise the
     * outcome is UNCLEAR at once unless a majority is proven to be in touch.
     *
     * @param kind what is asked for
     * @param base the revision that the call builds on
     * @param callback told the outcome, once
     */
    public void call(CallKind kind, long base, String argument, byte[] body, PendingCalls.Callback callback) {
        long arrivedMs = context.nowMs();
        synchronized (lock) {
            long nowMs = context.nowMs();
            if (quorum.majorityReachable(nowMs) || quorum.starting(nowMs)) {
                long id = calls.open(kind, arrivedMs, callback);
                carryOut(state.call(kind.call(id, base, argument, body), nowMs));
                return;
            }
        }
        callback.completed(Outcome.UNCLEAR, NO_BODY);
    }

    /** A connection to a control node stands. */
    void opened(NodeId peer, long nowMs) {
        synchronized (lock) {
            carryOut(state.connectionOpened(peer, nowMs));
        }
    }

    /** A message of the replication protocol came. */
    void received(NodeId from, Message message, long nowMs) {
        synchronized (lock) {
            carryOut(state.receive(from, message, nowMs));
        }
    }

    /** Lets time go on. */
    TickResult tick(long nowMs, Connectivity connectivity) {
        synchronized (lock) {
            carryOut(state.tick(nowMs, connectivity));
            return new TickResult(state.view(), state.relearning(), state.upToDate(nowMs));
        }
    }

    /** View and committed state, read together. */
    public Status status() {
        synchronized (lock) {
            return new Status(state.view(), state.committed(), state.relearning());
        }
    }

    /** How far this node is. */
    Phase phase(long nowMs) {
        synchronized (lock) {
            if (state.relearning()) {
                return Phase.RELEARNING;
            }
            return state.awaitingVoters(nowMs) ? Phase.FOUNDING : Phase.ACTIVE;
        }
    }

    /** True while a first start still waits for voters. */
    boolean bootstrapping(long nowMs) {
        synchronized (lock) {
            return state.awaitingVoters(nowMs);
        }
    }

    /** The committed state, null while unknown. */
    public State committed() {
        synchronized (lock) {
            return state.committed();
        }
    }

    /** The newest view, null if unknown. */
    public View view() {
        synchronized (lock) {
            return state.view();
        }
    }

    private void stored(long token) {
        synchronized (lock) {
            carryOut(state.recordsSynced(token, context.nowMs()));
        }
    }

    private void compact() {
        synchronized (lock) {
            records.write(new RecordLog.Write(RecordLog.COMPACTION, state.durableRecords(), true));
        }
    }

    /** Called with the lock held; see the class comment. */
    private void carryOut(List<ReplicatedState.Output> commands) {
        for (ReplicatedState.Output command : commands) {
            if (command instanceof ReplicatedState.Output.Send send) {
                context.mesh().send(send.to(), send.message());
            } else if (command instanceof ReplicatedState.Output.Store store) {
                records.write(new RecordLog.Write(store.token(), store.records(), store.snapshot()));
            } else if (command instanceof ReplicatedState.Output.Answer answer) {
                calls.complete(answer);
            } else if (command instanceof ReplicatedState.Output.Committed newer) {
                commits.committed(newer.state());
            } else if (command instanceof ReplicatedState.Output.ViewChanged changed) {
                logView(changed.view());
            }
        }
    }

    private void logView(View view) {
        LOG.atInfo()
                .with(LogField.EPOCH, view.epoch())
                .with(LogField.CHAIN, view.chain())
                .with(LogField.VOTERS, view.voters())
                .log("view in force");
        int losses = context.config().lossesBorne();
        if (view.voters().size() < votersWanted(losses)) {
            LOG.atWarning().log(
                    "%s voters cannot bear the loss of %s disks at once",
                    view.voters().size(), losses);
        }
    }
}
