package ringspindle.quota;

import ringspindle.protocol.NodeId;

/**
 * When the head of the view changed, as this node saw it: whether a head that takes over now may grant while the one before it still
 * does. What two heads grant at the same time comes out of the slack of a window, which is enough for one change and no more. Views
 * that keep their head are no change; views that this node did not see may have had any head. Not thread safe; times are of the node's
 * steady clock, in ms.
 */
public final class HeadChanges {
    /** A head acts on a proof that is this old at most: for so long after a change the head before may grant on. */
    public static final int OVERLAP_MS = 1600;
    /** A window of the users' bound, the life of a token, and the overlap: changes that far apart share no window. */
    static final int APART_MS = 5000 + TenantBuckets.TOKEN_MS + OVERLAP_MS;

    private static final long UNKNOWN = -1;

    private long epoch = UNKNOWN;
    private NodeId head;
    /** When the present head came, as far as is known here. */
    private long changedMs;
    /** When the head before it came; the same as {@link #changedMs} where that is not known. */
    private long changedBeforeMs;

    /** The view that is in force here; to be called often, on nodes that are not the head too. */
    public void observe(long viewEpoch, NodeId viewHead, long nowMs) {
        if (viewEpoch == epoch) {
            return;
        }
        boolean sawAll = epoch != UNKNOWN && viewEpoch == epoch + 1;
        if (!sawAll) {
            changedMs = nowMs;
            changedBeforeMs = nowMs;
        } else if (!viewHead.equals(head)) {
            changedBeforeMs = changedMs;
            changedMs = nowMs;
        }
        epoch = viewEpoch;
        head = viewHead;
    }

    /** True if no other change of the head can share a window with the one to the present head. */
    boolean mayOverlap() {
        return changedMs - changedBeforeMs >= APART_MS;
    }
}
