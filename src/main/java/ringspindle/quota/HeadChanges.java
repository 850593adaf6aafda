package ringspindle.quota;

import ringspindle.protocol.NodeId;

/**
 * When the head of the view changed, as this node saw it: whether a head that takes over now may grant while the one before it still
 * does. What two heads grant at the same time comes out of the slack of a window, which is enough for one change and no more. Views
 * that keep their head are no change; views that this node did not see may have had any head. Not thread safe; times are of the node's
 * steady clock, in ms.
 */
public final class HeadChanges {
    /** A head grants on a proof of being the head that is this old at most; in calm it is 600 ms old at most. */
    public static final int PROOF_MS = 1000;
    /** For so long after a change the head before may grant on. */
    static final int OVERLAP_MS = PROOF_MS + 100;
    /** A window of the users' bound, the life of a token, and the overlap: changes that far apart share no window. */
    static final int APART_MS = 5000 + TenantBuckets.TOKEN_MS + OVERLAP_MS;

    private static final long UNKNOWN = -1;
    private static final long FIRST_EPOCH = 1;

    /** What is known of the heads before the present one. */
    enum Predecessors {
        /** There were none: it has been the head since the first view of the fleet. */
        NONE,
        /** The last change before the one to the present head was long ago. */
        LONG_AGO,
        /** Another change may share a window with the one to the present head. */
        RECENT
    }

    /**
     * The time of one head, over all views that kept it.
     *
     * @param number larger for a later one, as this node counts them
     * @param sinceMs when it began, as far as is known here
     */
    record Tenure(long number, long sinceMs, Predecessors predecessors) {}

    private final boolean foundsFleet;
    private long epoch = UNKNOWN;
    private NodeId head;
    private Tenure tenure = new Tenure(0, 0, Predecessors.RECENT);

    /**
     * Nothing seen yet.
     *
     * @param foundsFleet true if this process started without any memory at the first start of the fleet: nobody granted anything before
     */
    public HeadChanges(boolean foundsFleet) {
        this.foundsFleet = foundsFleet;
    }

    /** The view that is in force here; to be called often, on nodes that are not the head too. */
    public void observe(long viewEpoch, NodeId viewHead, long nowMs) {
        if (viewEpoch == epoch) {
            return;
        }
        boolean sawAll = epoch != UNKNOWN && viewEpoch == epoch + 1;
        if (!sawAll || !viewHead.equals(head)) {
            tenure = new Tenure(tenure.number() + 1, nowMs, predecessors(sawAll, viewEpoch, nowMs));
        }
        epoch = viewEpoch;
        head = viewHead;
    }

    private Predecessors predecessors(boolean sawAll, long viewEpoch, long nowMs) {
        if (epoch == UNKNOWN && viewEpoch == FIRST_EPOCH && foundsFleet) {
            return Predecessors.NONE;
        }
        return sawAll && nowMs - tenure.sinceMs() >= APART_MS ? Predecessors.LONG_AGO : Predecessors.RECENT;
    }

    /** The present head's. */
    Tenure tenure() {
        return tenure;
    }
}
