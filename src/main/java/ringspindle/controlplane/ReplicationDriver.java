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
 * Passes events to the replicated state and executes its outputs. Thread safe.
 *
 * <p>Owns the {@link ReplicatedState}, guarded by {@link #lock}. Outputs are passed to the mesh, the record log and the
 * thread pool while the lock is held: replicas rely on the order in which messages and records were produced, and two
 * threads that sent them after releasing the lock could overtake each other. All three only queue and run no callbacks
 * on the calling thread. The lock of {@link FleetState} may be acquired while this one is held, never the other way
 * round.
 */
public final class ReplicationDriver {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final byte[] NO_BODY = {};

    /** Receives committed states, oldest first, with the lock held; implementations must not block. */
    interface CommitListener {
        /** Called when a newer state has been committed. */
        void committed(State state);
    }

    /** Startup phase of the replicated state of this node. */
    public enum Phase {
        /** Relearning the promises that were made before the disk was lost. */
        RELEARNING,
        /** Waiting for voters during the first start of the fleet. */
        BOOTSTRAPPING,
        /** Voting and holding state. */
        ACTIVE
    }

    /**
     * A consistent snapshot of the replicated state.
     *
     * @param view the latest view, null if unknown
     * @param committed the committed state, null while unknown
     * @param relearning true if this node can neither vote nor hold state
     */
    public record Status(View view, State committed, boolean relearning) {
        /** Returns the epoch of the view, 0 without a view. */
        public long epoch() {
            return view == null ? 0 : view.epoch();
        }

        /** Returns the sequence number of the committed state, -1 without one. */
        public long sequence() {
            return committed == null ? -1 : committed.seq();
        }
    }

    /**
     * The replicated state after a tick.
     *
     * @param view the latest view, null if unknown
     * @param relearning true if this node can neither vote nor hold state
     * @param current true if this node learns of every commit
     */
    record TickResult(View view, boolean relearning, boolean current) {}

    private final Object lock = new Object();
    private final NodeContext context;
    private final ReplicatedState state;
    private final PendingCalls pendingCalls;
    private final RecordLog recordLog;
    private final QuorumTracker quorum;
    private final CommitListener commitListener;

    /**
     * Creates a driver for the replicated state.
     *
     * @param pendingCalls calls received by this node that are waiting for their outcome
     */
    ReplicationDriver(
            NodeContext context,
            ReplicatedState state,
            PendingCalls pendingCalls,
            RecordLog recordLog,
            QuorumTracker quorum,
            CommitListener commitListener) {
        this.context = context;
        this.state = state;
        this.pendingCalls = pendingCalls;
        this.recordLog = recordLog;
        this.quorum = quorum;
        this.commitListener = commitListener;
    }

    /** Returns the number of voters needed to tolerate the simultaneous loss of the given number of disks. */
    static int requiredVoters(int losses) {
        return 2 * losses + 1;
    }

    /** Opens the record log; records are written from then on. */
    void open() {
        recordLog.open(this::onStored, this::compact);
    }

    /**
     * Passes a call to the replicated state if a majority is proven to be reachable, or if this node is just starting;
     * in the latter case the replicated state briefly holds the call. Otherwise the outcome is {@code UNCLEAR} at once.
     *
     * @param kind the requested operation
     * @param base the revision that the call is based on
     * @param callback receives the outcome, once
     */
    public void call(CallKind kind, long base, String argument, byte[] body, PendingCalls.Callback callback) {
        long receivedMs = context.nowMs();
        synchronized (lock) {
            long nowMs = context.nowMs();
            if (quorum.majorityReachable(nowMs) || quorum.starting(nowMs)) {
                long id = pendingCalls.register(kind, receivedMs, callback);
                execute(state.call(kind.call(id, base, argument, body), nowMs));
                return;
            }
        }
        callback.completed(Outcome.UNCLEAR, NO_BODY);
    }

    /** Handles a new connection to a control node. */
    void opened(NodeId peer, long nowMs) {
        synchronized (lock) {
            execute(state.connectionOpened(peer, nowMs));
        }
    }

    /** Handles a message of the replication protocol. */
    void received(NodeId from, Message message, long nowMs) {
        synchronized (lock) {
            execute(state.receive(from, message, nowMs));
        }
    }

    /** Advances the time. */
    TickResult tick(long nowMs, Connectivity connectivity) {
        synchronized (lock) {
            execute(state.tick(nowMs, connectivity));
            return new TickResult(state.view(), state.relearning(), state.upToDate(nowMs));
        }
    }

    /** Returns the view and the committed state, read atomically. */
    public Status status() {
        synchronized (lock) {
            return new Status(state.view(), state.committed(), state.relearning());
        }
    }

    /** Returns the startup phase of this node. */
    Phase phase(long nowMs) {
        synchronized (lock) {
            if (state.relearning()) {
                return Phase.RELEARNING;
            }
            return state.awaitingVoters(nowMs) ? Phase.BOOTSTRAPPING : Phase.ACTIVE;
        }
    }

    /** Returns true while the first start of the fleet is still waiting for voters. */
    boolean bootstrapping(long nowMs) {
        synchronized (lock) {
            return state.awaitingVoters(nowMs);
        }
    }

    /** Returns the committed state, null while unknown. */
    public State committed() {
        synchronized (lock) {
            return state.committed();
        }
    }

    /** Returns the latest view, null if unknown. */
    public View view() {
        synchronized (lock) {
            return state.view();
        }
    }

    private void onStored(long token) {
        synchronized (lock) {
            execute(state.recordsSynced(token, context.nowMs()));
        }
    }

    private void compact() {
        synchronized (lock) {
            recordLog.write(new RecordLog.Write(RecordLog.COMPACTION, state.durableRecords(), true));
        }
    }

    /** Executes the outputs in order. The caller holds the lock; see the class comment. */
    private void execute(List<ReplicatedState.Output> outputs) {
        for (ReplicatedState.Output output : outputs) {
            if (output instanceof ReplicatedState.Output.Send send) {
                context.mesh().send(send.to(), send.message());
            } else if (output instanceof ReplicatedState.Output.Store store) {
                recordLog.write(new RecordLog.Write(store.token(), store.records(), store.snapshot()));
            } else if (output instanceof ReplicatedState.Output.Answer answer) {
                pendingCalls.complete(answer);
            } else if (output instanceof ReplicatedState.Output.Committed committed) {
                commitListener.committed(committed.state());
            } else if (output instanceof ReplicatedState.Output.ViewChanged viewed) {
                logView(viewed.view());
            }
        }
    }

    private void logView(View view) {
        LOG.atInfo()
                .with(LogField.EPOCH, view.epoch())
                .with(LogField.CHAIN, view.chain())
                .with(LogField.VOTERS, view.voters())
                .log("new view in effect");
        int losses = context.config().lossesBorne();
        if (view.voters().size() < requiredVoters(losses)) {
            LOG.atWarning().log(
                    "%s voters cannot tolerate the simultaneous loss of %s disks",
                    view.voters().size(), losses);
        }
    }
}
