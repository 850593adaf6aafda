package ringspindle.replication;

import ringspindle.protocol.Message.State;

/**
 * Tracks how much of this member's state is synced to its disk.
 *
 * <p>Invariant: {@link #newest} is on disk and only ever replaced by a newer state; {@link #seq} restarts with {@link
 * #restart}, since syncs of the previous state prove nothing about the new one.
 */
final class SyncProgress {
    private static final long NO_SEQ = -1;

    private long seq = NO_SEQ;
    private State newest = ControlState.empty();

    /** Starts a state of which nothing is on disk yet. */
    void restart() {
        seq = NO_SEQ;
    }

    /** Restores a state that was read from disk. */
    void restore(State state) {
        seq = state.seq();
        newest = state;
    }

    /** Called when a state is synced. */
    void synced(State state) {
        if (state.seq() >= seq) {
            restore(state);
        }
    }

    /** The last synced sequence number, -1 if nothing is synced. */
    long seq() {
        return seq;
    }

    /** The newest state on disk; it may belong to an older view. */
    State newest() {
        return newest;
    }

    /** Whether the newest state on disk belongs to the view and is no newer than the sequence number. */
    boolean hasStateAtOrBefore(long epoch, long upToSeq) {
        return newest.lineage() == epoch && newest.seq() <= upToSeq;
    }
}
