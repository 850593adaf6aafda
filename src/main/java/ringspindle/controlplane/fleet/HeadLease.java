package ringspindle.controlplane.fleet;

import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Whether this node may act for the fleet: it is the head of the view, proven to be so by a majority, and whoever was before it
 * cannot act any more. A head acts on a proof that is 1.5 s old at most; one that takes over waits for longer than that. Confined to
 * its owner.
 */
public final class HeadLease {
    private static final long NEVER = -1;
    private static final long FIRST_EPOCH = 1;

    private final NodeId me;
    private final int takeoverMs;
    /** The newest epoch in which this node held the role, {@link #NEVER} before the first. */
    private long heldEpoch = NEVER;

    private long actFromMs;

    /**
     * A lease of a role that this node does not have yet.
     *
     * @param takeoverMs for how long a node waits that takes the role over from another one
     */
    public HeadLease(NodeId me, int takeoverMs) {
        this.me = me;
        this.takeoverMs = takeoverMs;
    }

    /**
     * True if this node may act now.
     *
     * @param view the newest view, null if unknown
     * @param quorate only then this node may act as the head
     */
    public boolean renew(View view, boolean quorate, long nowMs) {
        if (view == null || !quorate || !view.head().equals(me)) {
            return false;
        }
        if (!succeedsItself(view.epoch())) {
            boolean firstHeadEver = heldEpoch == NEVER && view.epoch() == FIRST_EPOCH;
            actFromMs = firstHeadEver ? nowMs : nowMs + takeoverMs;
        }
        heldEpoch = view.epoch();
        return nowMs >= actFromMs;
    }

    /** True if nobody else can have acted since this node did: no view of another head lies in between. */
    private boolean succeedsItself(long epoch) {
        return heldEpoch != NEVER && epoch - heldEpoch <= 1;
    }
}
