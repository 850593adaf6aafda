package ringspindle.replication;

import java.util.ArrayDeque;
import java.util.List;
import ringspindle.consensus.Replica;
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
 * One member's copy of the control state: a snapshot and entries come from the predecessor, are synced here, and only then go
 * on to the successor; what the tail has synced is committed, and the word of it goes back up the chain.
 */
final class Replication {
    private static final byte[] NONE = {};
    /** What is not confirmed by the successor is sent again after so long, then after twice as long. */
    private static final long RESEND_MS = 400;

    private static final long RESEND_MAX_MS = 6400;
    private static final long NOTHING = -1;

    /** Hears of what is committed. */
    interface Listener {
        /** An order of that caller is on the disks of the whole chain. */
        void acknowledged(NodeId origin, long call);

        /** All up to that number is committed. */
        void committed(long seq);
    }

    /** An entry that is not committed yet, and the state after it; without an origin where another node took the order. */
    private record Pending(long seq, State state, byte[] op, NodeId origin, long call) {}

    private final Replica replica;
    private final ViewConsensus consensus;
    private final OutputQueue outputs;
    private final Listener listener;
    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    private State last = new State(NOTHING, 0, 0, List.of(), List.of(), NONE);
    private State committed;
    /** The number of the last entry of this view that is on this disk, and the state as of it. */
    private long synced = NOTHING;

    private State syncedState = last;
    private long sentDown = NOTHING;
    private long ackedDown = NOTHING;
    private long sentDownMs;
    private long resendMs = RESEND_MS;
    private long uncommittedSinceMs;

    Replication(ViewConsensus consensus, OutputQueue outputs, Listener listener) {
        this.replica = consensus.replica();
        this.consensus = consensus;
        this.outputs = outputs;
        this.listener = listener;
    }

    // ---- what it holds

    /** The newest state here, committed or not. */
    State last() {
        return last;
    }

    /** The committed state, null while unknown. */
    State committed() {
        return committed;
    }

    Position position() {
        return new Position(last.lineage(), last.seq());
    }

    /** True while this node takes part in the chain of the view in force, with a copy that belongs to it. */
    boolean active() {
        return replica.participates() && !consensus.fenced() && ofThisView() && replica.inChain();
    }

    /** True while, besides, it is known here what is committed in this view. */
    boolean established() {
        return active() && committedInThisView();
    }

    /** True if the copy held here belongs to the view in force. */
    boolean ofThisView() {
        return last.lineage() == replica.epoch();
    }

    private boolean committedInThisView() {
        return committed != null && committed.lineage() == replica.epoch();
    }

    /** True while entries wait for longer than that to be committed. */
    boolean stalledFor(long ms) {
        return last.seq() > (committed == null ? NOTHING : committed.seq())
                && replica.nowMs() - uncommittedSinceMs > ms;
    }

    // ---- a start, a lost disk, a new view

    /** Takes over a state found on disk. */
    void load(State state) {
        last = state;
        pending.clear();
        synced = last.seq();
        syncedState = last;
    }

    /** Applies an entry found on disk behind that state; others are left alone. */
    void load(Entry entry) {
        if (entry.epoch() == last.lineage() && entry.seq() == last.seq() + 1) {
            load(Content.apply(last, (Op) Codec.decode(entry.op())));
        }
    }

    /** Writes what was found or founded before anything else is said; the head of a view goes on from it. */
    void writeFirst() {
        uncommittedSinceMs = replica.nowMs();
        State first = last;
        long epoch = replica.epoch();
        outputs.replaceAll(List.of(consensus.vote(), first), () -> {
            if (active() && replica.epoch() == epoch && replica.isHead()) {
                onStored(first);
            }
        });
    }

    /** Starts anew with nothing, and with a vote that was relearned. */
    void reset() {
        load(new State(NOTHING, 0, 0, List.of(), List.of(), NONE));
        outputs.replaceAll(List.of(consensus.vote(), last), () -> {});
    }

    /** A new view is in force. Its head turns the copy it holds into the first of the view; others wait for a snapshot. */
    void startView() {
        synced = NOTHING;
        sentDown = NOTHING;
        ackedDown = NOTHING;
        resendMs = RESEND_MS;
        uncommittedSinceMs = replica.nowMs();
        boolean leads =
                replica.inChain() && replica.isHead() && last.lineage() >= 0 && last.lineage() < replica.epoch();
        if (leads) {
            last = inThisView(last);
            State first = last;
            outputs.replaceAll(List.of(consensus.vote(), first), () -> onStored(first));
        } else {
            outputs.append(List.of(consensus.vote()), () -> {});
        }
    }

    private State inThisView(State state) {
        return state.lineage() == replica.epoch()
                ? state
                : new State(
                        replica.epoch(), state.seq(), state.revision(), state.past(), state.marks(), state.config());
    }

    // ---- down the chain

    /** The head appends an order; the listener hears when it is committed. */
    void append(Op op, NodeId origin, long call) {
        append(Codec.encode(op), origin, call);
    }

    private void append(byte[] op, NodeId origin, long call) {
        if (committed != null && committed.seq() >= last.seq()) {
            uncommittedSinceMs = replica.nowMs();
        }
        last = Content.apply(last, (Op) Codec.decode(op));
        State state = last;
        pending.add(new Pending(state.seq(), state, op, origin, call));
        outputs.append(List.of(new Entry(replica.epoch(), state.seq(), op)), () -> onStored(state));
    }

    /** A state of some view is on this disk. */
    private void onStored(State state) {
        if (replica.view() == null || state.lineage() != replica.epoch()) {
            return;
        }
        if (state.seq() >= synced) {
            synced = state.seq();
            syncedState = state;
        }
        goOn();
    }

    /** Commits at the tail, else passes on what is synced. */
    private void goOn() {
        if (consensus.fenced()) {
            return;
        }
        if (replica.successor() == null) {
            commit(synced);
        } else {
            pushDown();
        }
    }

    /** The connection to a peer stands anew: what went over an older one may be lost. */
    void onOpened(NodeId peer) {
        if (replica.view() != null && peer.equals(replica.successor())) {
            sentDown = NOTHING;
            resendMs = RESEND_MS;
            pushDown();
        }
    }

    /** Sends again what the successor does not confirm. */
    void tick() {
        if (!active()) {
            return;
        }
        NodeId next = replica.successor();
        if (next == null || !replica.linked(next)) {
            return;
        }
        if (sentDown >= 0 && ackedDown < last.seq() && replica.nowMs() - sentDownMs > resendMs) {
            // a large snapshot over a slow link takes its time: sending it ever more often would never end
            resendMs = Math.min(resendMs * 2, RESEND_MAX_MS);
            sentDown = NOTHING;
        }
        if (sentDown < 0) {
            pushDown();
        }
    }

    private void pushDown() {
        NodeId next = replica.successor();
        if (next == null || !active()) {
            return;
        }
        if (sentDown < 0 && !sendSnapshot(next)) {
            return;
        }
        for (Pending entry : pending) {
            if (entry.seq() > sentDown && entry.seq() <= synced) {
                outputs.send(next, new Entry(replica.epoch(), entry.seq(), entry.op()));
                sentDown = entry.seq();
                sentDownMs = replica.nowMs();
            }
        }
    }

    /** A snapshot as of what is synced here; false while nothing of this view is. */
    private boolean sendSnapshot(NodeId next) {
        if (syncedState.lineage() != replica.epoch()) {
            return false;
        }
        outputs.send(next, new Install(replica.epoch(), syncedState.seq(), Codec.encode(syncedState)));
        sentDown = syncedState.seq();
        sentDownMs = replica.nowMs();
        return true;
    }

    void onInstall(NodeId from, Install install) {
        boolean takes = replica.participates() && !consensus.fenced();
        if (!takes || install.epoch() != replica.epoch() || !from.equals(replica.predecessor())) {
            return;
        }
        if (ofThisView() && last.seq() >= install.seq()) {
            sentDown = NOTHING;
            goOn();
            confirmCommitted();
            return;
        }
        last = (State) Codec.decode(install.image());
        pending.clear();
        sentDown = NOTHING;
        synced = NOTHING;
        State installed = last;
        outputs.replaceAll(List.of(consensus.vote(), installed), () -> onStored(installed));
    }

    void onEntry(NodeId from, Entry entry) {
        if (!active() || entry.epoch() != replica.epoch() || !from.equals(replica.predecessor())) {
            return;
        }
        if (entry.seq() <= last.seq()) {
            goOn();
            confirmCommitted();
        } else if (entry.seq() == last.seq() + 1) {
            append(entry.op(), null, NOTHING);
        }
    }

    // ---- up the chain

    /** Says again what is committed, to a predecessor that seems not to have heard it. */
    private void confirmCommitted() {
        if (committedInThisView() && replica.predecessor() != null) {
            outputs.send(replica.predecessor(), new Synced(replica.epoch(), committed.seq()));
        }
    }

    void onSynced(NodeId from, Synced confirmation) {
        if (replica.view() == null
                || confirmation.epoch() != replica.epoch()
                || !from.equals(replica.successor())
                || !ofThisView()) {
            return;
        }
        ackedDown = Math.max(ackedDown, confirmation.seq());
        resendMs = RESEND_MS;
        commit(Math.min(confirmation.seq(), last.seq()));
    }

    private void commit(long seq) {
        State newest = committed;
        while (!pending.isEmpty() && pending.peek().seq() <= seq) {
            Pending entry = pending.poll();
            newest = entry.state();
            if (entry.origin() != null) {
                listener.acknowledged(entry.origin(), entry.call());
            }
        }
        if (pending.isEmpty() && last.seq() <= seq) {
            newest = last;
        } else if (syncedInThisView(seq) && (newest == null || newest.seq() < syncedState.seq())) {
            // a snapshot that is on disk, while a newer one that replaced it is not yet
            newest = syncedState;
        }
        if (newest != null && newer(newest)) {
            uncommittedSinceMs = replica.nowMs();
            committed = inThisView(newest);
            outputs.emit(new ReplicatedState.Out.Committed(committed));
        }
        if (replica.predecessor() != null) {
            outputs.send(replica.predecessor(), new Synced(replica.epoch(), seq));
        }
        listener.committed(seq);
    }

    private boolean syncedInThisView(long upTo) {
        return syncedState.lineage() == replica.epoch() && syncedState.seq() <= upTo;
    }

    private boolean newer(State state) {
        return committed == null || state.seq() > committed.seq() || state.lineage() > committed.lineage();
    }

    @Override
    public String toString() {
        return "lineage " + last.lineage() + " seq " + last.seq() + " committed "
                + (committed == null ? null : committed.lineage() + "/" + committed.seq()) + " synced " + synced
                + " down "
                + sentDown + "/" + ackedDown;
    }
}
