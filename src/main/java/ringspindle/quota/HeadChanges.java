package ringspindle.quota;

/**
 * When the head of the view changed, as this node saw it: whether a head that takes over now may grant while the one before it still
 * does. What two heads grant at the same time comes out of the slack of a window, which is enough for one change and no more. Not
 * thread safe; times are of the node's steady clock, in ms.
 */
public final class HeadChanges {
    /** A head acts on a proof that is this old at most: for so long after a change the head before may grant on. */
    public static final int OVERLAP_MS = 1600;
    /** A window of the users' bound, the life of a token, and the overlap: changes that far apart share no window. */
    static final int APART_MS = 5000 + TenantBuckets.TOKEN_MS + OVERLAP_MS;

    private static final long UNKNOWN = -1;

    private long epoch = UNKNOWN;
    private long sinceMs;
    /** The epoch of the view before the present one, and since when it was in force here. */
    private long earlierEpoch = UNKNOWN;

    private long earlierSinceMs;

    /** The view that is in force here; to be called often, on nodes that are not the head too. */
    public void observe(long viewEpoch, long nowMs) {
        if (viewEpoch == epoch) {
            return;
        }
        earlierEpoch = epoch;
        earlierSinceMs = sinceMs;
        epoch = viewEpoch;
        sinceMs = nowMs;
    }

    /**
     * True if no other change of the head can share a window with the one to this view: the view before it was the next lower one, and was
     * in force here for long enough. The first view ever follows none.
     */
    boolean mayOverlap() {
        boolean sawEarlier = earlierEpoch != UNKNOWN && earlierEpoch == epoch - 1;
        return sawEarlier && sinceMs - earlierSinceMs >= APART_MS;
    }
}
