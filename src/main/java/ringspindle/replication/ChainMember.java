package ringspindle.replication;

import java.util.ArrayDeque;
import java.util.List;
import ringspindle.consensus.ReplicaContext;
import ringspindle.consensus.ViewConsensus;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Install;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Synced;
import ringspindle.protocol.NodeId;

/**
 * The node's role in the replication chain, with its copy of the control state. A snapshot and entries arrive from the
 * predecessor, are synced here, and only then are forwarded to the successor. What the tail has synced is committed,
 * and the acknowledgement travels back up the chain.
 *
 * <p>Invariants: the committed state is never newer than what is synced here; state of an older view is neither
 * forwarded nor committed; while this node is fenced it accepts no entries and commits nothing by itself.
 */
final class ChainMember {
    private static final long NO_SEQ = -1;

    /** Receives commit notifications. */
    interface Listener {
        /** The command of that call is synced on every chain member. */
        void acknowledged(CallId call);

        /** Everything up to the sequence number is committed. */
        void committed(long seq);
    }

    /**
     * An entry that is not committed yet, with the state after it.
     *
     * @param call the call that the entry answers, null where another node decided the command
     */
    private record Uncommitted(State state, byte[] op, CallId call) {
        long seq() {
            return state.seq();
        }
    }

    private final ReplicaContext replica;
    private final ViewConsensus consensus;
    private final OutputQueue outputs;
    private final Listener listener;
    private final ArrayDeque<Uncommitted> uncommitted = new ArrayDeque<>();
    private final SuccessorLink successor = new SuccessorLink();
    private final SyncProgress syncProgress = new SyncProgress();
    private State latest = ControlState.empty();
    private State committed;
    private long uncommittedSinceMs;

    ChainMember(ViewConsensus consensus, OutputQueue outputs, Listener listener) {
        this.replica = consensus.replica();
        this.consensus = consensus;
        this.outputs = outputs;
        this.listener = listener;
    }

    // ---- the state held here

    /** The newest state, committed or not. */
    State latest() {
        return latest;
    }

    /** The committed state, or null while unknown. */
    State committed() {
        return committed;
    }

    Position position() {
        return new Position(latest.lineage(), latest.seq());
    }

    /** Whether this node replicates in the chain of the current view, with state that belongs to it. */
    boolean active() {
        return replica.participates() && !consensus.fenced() && belongsToCurrentView() && replica.inChain();
    }

    /** Whether this node is active and knows the committed state of this view. */
    boolean hasCommittedInView() {
        return active() && committedInThisView();
    }

    /** Whether the state held here belongs to the current view. */
    boolean belongsToCurrentView() {
        return latest.lineage() == replica.epoch();
    }

    private boolean committedInThisView() {
        return committed != null && committed.lineage() == replica.epoch();
    }

    private long committedSeq() {
        return committed == null ? NO_SEQ : committed.seq();
    }

    /** Whether entries have been waiting for commit for longer than the given time in milliseconds. */
    boolean stalledFor(long ms) {
        return latest.seq() > committedSeq() && replica.nowMs() - uncommittedSinceMs > ms;
    }

    // ---- startup, disk loss, view changes

    /** Restores a state read from disk. */
    void restore(State state) {
        latest = state;
        uncommitted.clear();
        syncProgress.restore(state);
    }

    /** Applies an entry read from disk if it directly follows the state; ignores any other. */
    void restore(Entry entry) {
        if (entry.epoch() == latest.lineage() && entry.seq() == latest.seq() + 1) {
            restore(ControlState.apply(latest, (Op) Codec.decode(entry.op())));
        }
    }

    /** Persists the restored or initial state before any message is sent; the head continues from it. */
    void persistInitialState() {
        uncommittedSinceMs = replica.nowMs();
        State first = latest;
        long epoch = replica.epoch();
        writeSnapshot(first, () -> {
            if (active() && replica.epoch() == epoch && replica.isHead()) {
                onSyncedLocally(first);
            }
        });
    }

    /** Restarts with an empty state and a relearned vote. */
    void resetAfterRelearning() {
        restore(ControlState.empty());
        writeSnapshot(latest, () -> {});
    }

    /**
     * Starts a new view. Its head turns its state into the first one of the view; other members wait for a snapshot.
     */
    void startView() {
        syncProgress.restart();
        successor.startView();
        uncommittedSinceMs = replica.nowMs();
        boolean hasOlderState = latest.lineage() >= 0 && latest.lineage() < replica.epoch();
        if (replica.inChain() && replica.isHead() && hasOlderState) {
            latest = ControlState.inView(latest, replica.epoch());
            State first = latest;
            writeSnapshot(first, () -> onSyncedLocally(first));
        } else {
            outputs.append(List.of(consensus.vote()), () -> {});
        }
    }

    private void writeSnapshot(State state, Runnable whenSynced) {
        outputs.replaceAll(List.of(consensus.vote(), state), whenSynced);
    }

    // ---- replication down the chain

    /** Appends a command at the head; the listener is notified once it is committed. */
    void append(Op op, CallId call) {
        append(Codec.encode(op), call);
    }

    private void append(byte[] op, CallId call) {
        if (committed != null && committed.seq() >= latest.seq()) {
            uncommittedSinceMs = replica.nowMs();
        }
        latest = ControlState.apply(latest, (Op) Codec.decode(op));
        State state = latest;
        uncommitted.add(new Uncommitted(state, op, call));
        outputs.append(List.of(new Entry(replica.epoch(), state.seq(), op)), () -> onSyncedLocally(state));
    }

    /** Called when a state, possibly of an older view, is synced to this disk. */
    private void onSyncedLocally(State state) {
        if (replica.view() == null || state.lineage() != replica.epoch()) {
            return;
        }
        syncProgress.synced(state);
        forward();
    }

    /** Commits what is synced if this node is the tail, and forwards it otherwise. */
    private void forward() {
        if (consensus.fenced()) {
            return;
        }
        if (replica.successor() == null) {
            commit(syncProgress.seq());
        } else {
            sendToSuccessor();
        }
    }

    /** Called for a new connection to a peer; messages sent on an older one may be lost. */
    void onConnectionOpened(NodeId peer) {
        if (replica.view() != null && peer.equals(replica.successor())) {
            successor.onReconnected();
            sendToSuccessor();
        }
    }

    /** Resends what the successor has not acknowledged. */
    void tick() {
        NodeId next = active() ? replica.successor() : null;
        if (next == null || !replica.connectedTo(next)) {
            return;
        }
        successor.tick(latest.seq(), replica.nowMs());
        if (successor.snapshotDue()) {
            sendToSuccessor();
        }
    }

    private void sendToSuccessor() {
        NodeId next = replica.successor();
        if (next == null || !active()) {
            return;
        }
        if (successor.snapshotDue() && !sendSnapshot(next)) {
            return;
        }
        for (Uncommitted entry : uncommitted) {
            if (entry.seq() > successor.sentSeq() && entry.seq() <= syncProgress.seq()) {
                outputs.send(next, new Entry(replica.epoch(), entry.seq(), entry.op()));
                successor.sent(entry.seq(), replica.nowMs());
            }
        }
    }

    /** Sends a snapshot of what is synced here; returns false while nothing of this view is. */
    private boolean sendSnapshot(NodeId next) {
        State synced = syncProgress.newest();
        if (synced.lineage() != replica.epoch()) {
            return false;
        }
        outputs.send(next, new Install(replica.epoch(), synced.seq(), Codec.encode(synced)));
        successor.sent(synced.seq(), replica.nowMs());
        return true;
    }

    void onInstall(NodeId from, Install install) {
        boolean acceptsSnapshots = replica.participates() && !consensus.fenced();
        if (!acceptsSnapshots || install.epoch() != replica.epoch() || !from.equals(replica.predecessor())) {
            return;
        }
        successor.requireSnapshot();
        if (belongsToCurrentView() && latest.seq() >= install.seq()) {
            forward();
            resendSynced();
            return;
        }
        latest = (State) Codec.decode(install.image());
        uncommitted.clear();
        syncProgress.restart();
        State installed = latest;
        writeSnapshot(installed, () -> onSyncedLocally(installed));
    }

    void onEntry(NodeId from, Entry entry) {
        if (!active() || entry.epoch() != replica.epoch() || !from.equals(replica.predecessor())) {
            return;
        }
        if (entry.seq() <= latest.seq()) {
            forward();
            resendSynced();
        } else if (entry.seq() == latest.seq() + 1) {
            append(entry.op(), null);
        }
    }

    // ---- acknowledgements up the chain

    /** Repeats the acknowledgement to a predecessor that seems to have missed it. */
    private void resendSynced() {
        if (committedInThisView() && replica.predecessor() != null) {
            outputs.send(replica.predecessor(), new Synced(replica.epoch(), committed.seq()));
        }
    }

    void onSynced(NodeId from, Synced acknowledgement) {
        if (replica.view() == null
                || acknowledgement.epoch() != replica.epoch()
                || !from.equals(replica.successor())
                || !belongsToCurrentView()) {
            return;
        }
        successor.acknowledged(acknowledgement.seq());
        commit(Math.min(acknowledgement.seq(), latest.seq()));
    }

    private void commit(long seq) {
        State newest = committed;
        while (!uncommitted.isEmpty() && uncommitted.peek().seq() <= seq) {
            Uncommitted entry = uncommitted.poll();
            newest = entry.state();
            if (entry.call() != null) {
                listener.acknowledged(entry.call());
            }
        }
        if (uncommitted.isEmpty() && latest.seq() <= seq) {
            newest = latest;
        } else if (syncProgress.hasStateAtOrBefore(replica.epoch(), seq)
                && (newest == null || newest.seq() < syncProgress.newest().seq())) {
            // an older snapshot is on disk, and the newer one that replaced it is not synced yet
            newest = syncProgress.newest();
        }
        if (newest != null && newerThanCommitted(newest)) {
            uncommittedSinceMs = replica.nowMs();
            committed = ControlState.inView(newest, replica.epoch());
            outputs.emit(new ReplicatedState.Output.Committed(committed));
        }
        if (replica.predecessor() != null) {
            outputs.send(replica.predecessor(), new Synced(replica.epoch(), seq));
        }
        listener.committed(seq);
    }

    private boolean newerThanCommitted(State state) {
        return committed == null || state.seq() > committed.seq() || state.lineage() > committed.lineage();
    }

    @Override
    public String toString() {
        return "lineage " + latest.lineage() + " seq " + latest.seq() + " committed "
                + (committed == null ? null : committed.lineage() + "/" + committed.seq()) + " synced "
                + syncProgress.seq()
                + " down " + successor;
    }
}
