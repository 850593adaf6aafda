package ringspindle.controlplane;

import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Whether this node may act for the fleet: it is the head of the view, proven to be so by a majority, and whoever was before it
 * cannot act any more. A head acts on a proof that is 1.5 s old at most; one that takes over waits for longer than that, and than the
 * time within which the role must not go back and forth. Confined to the tick.
 */
final class DutyLease {
    /** What is waited beyond the time within which a role must not go back and forth, in ms. */
    private static final int MARGIN_MS = 300;
    /** As long as an old proof may hold, in ms. */
    private static final int PROOF_MS = 1500;

    private static final long NEVER = -2;
    private static final long FIRST_EPOCH = 1;

    private final NodeId me;
    private final int leaseMs;
    private long heldEpoch = NEVER;
    private long actFromMs;

    DutyLease(NodeId me, int leaseMs) {
        this.me = me;
        this.leaseMs = leaseMs;
    }

    /** True if this node may act now. */
    boolean mayAct(View view, boolean quorate, long nowMs) {
        if (view == null || !quorate || !view.head().equals(me)) {
            return false;
        }
        if (view.epoch() != heldEpoch) {
            boolean succeedsItself = heldEpoch != NEVER && view.epoch() == heldEpoch + 1;
            if (!succeedsItself) {
                boolean firstEver = heldEpoch == NEVER && view.epoch() == FIRST_EPOCH;
                actFromMs = firstEver ? nowMs : nowMs + Math.max(leaseMs, PROOF_MS) + MARGIN_MS;
            }
            heldEpoch = view.epoch();
        }
        return nowMs >= actFromMs;
    }
}
