package ringspindle.controlplane.fleet;

import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Lease of the singleton role that belongs to the head of the view. It is in effect while this node is the head, a
 * majority confirms that, and no earlier head can still act. A head acts on a confirmation that is at most 1.5 s old; a
 * node that takes over waits for longer than that. Not thread safe; confined to its owner.
 */
public final class HeadLease {
    private static final long NEVER = -1;
    private static final long FIRST_EPOCH = 1;

    private final NodeId self;
    private final int takeoverMs;
    /** The newest epoch in which this node held the role, {@link #NEVER} before the first. */
    private long heldEpoch = NEVER;

    private long effectiveFromMs;

    /**
     * Creates the lease for a node that does not hold the role yet.
     *
     * @param takeoverMs how long a node waits after it takes the role over from another node
     */
    public HeadLease(NodeId self, int takeoverMs) {
        this.self = self;
        this.takeoverMs = takeoverMs;
    }

    /**
     * Renews the lease, or starts to take the role over; returns true if the lease is in effect now.
     *
     * @param view the newest view, null if unknown
     * @param quorate whether a majority confirms the view; without, the lease is not in effect
     */
    public boolean renew(View view, boolean quorate, long nowMs) {
        if (view == null || !quorate || !view.head().equals(self)) {
            return false;
        }
        if (!isOwnSuccessor(view.epoch())) {
            boolean firstHeadEver = heldEpoch == NEVER && view.epoch() == FIRST_EPOCH;
            effectiveFromMs = firstHeadEver ? nowMs : nowMs + takeoverMs;
        }
        heldEpoch = view.epoch();
        return nowMs >= effectiveFromMs;
    }

    /** True if no other node can have held the role since this one did: no view with another head lies in between. */
    private boolean isOwnSuccessor(long epoch) {
        return heldEpoch != NEVER && epoch - heldEpoch <= 1;
    }
}
