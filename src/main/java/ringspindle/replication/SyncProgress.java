package ringspindle.replication;

import ringspindle.protocol.Message.State;

/**
 * What of this member's copy is on its disk.
 *
 * <p>Invariant: {@link #newest} is on disk and only ever replaced by a newer state of the copy; {@link #seq} counts from the
 * last {@link #restart}, as syncs of the copy before that one prove nothing of it.
 */
final class SyncProgress {
    private static final long NO_SEQ = -1;

    private long seq = NO_SEQ;
    private State newest = ControlState.empty();

    /** A copy begins of which nothing is on disk yet. */
    void restart() {
        seq = NO_SEQ;
    }

    /** The copy was found on disk as it is. */
    void restore(State state) {
        seq = state.seq();
        newest = state;
    }

    /** A state of the copy is on disk. */
    void synced(State state) {
        if (state.seq() >= seq) {
            restore(state);
        }
    }

    /** The last sequence number of the copy that is on disk, -1 if nothing of it is. */
    long seq() {
        return seq;
    }

    /** The newest state on disk; it may be one of an older view. */
    State newest() {
        return newest;
    }

    /** True if the newest state on disk belongs to that view and is no newer than that sequence number. */
    boolean hasStateAtOrBefore(long epoch, long upToSeq) {
        return newest.lineage() == epoch && newest.seq() <= upToSeq;
    }
}
