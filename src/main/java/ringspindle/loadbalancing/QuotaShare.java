package ringspindle.loadbalancing;

import ringspindle.protocol.Message.Lease;

/**
 * How many nodes share what the fleet allows together: retries, requests to warming engines, connections. The control
 * plane says so in a lease; without one a node assumes more nodes than it ever knew of, so that the sum of all shares
 * stays within the whole.
 *
 * <p>Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class QuotaShare {
    /** Part of the whole that is used, as nodes do not learn of a new number of nodes at the same moment. */
    static final double USED_PART = 0.8;
    /** A share is computed for at least so many nodes. */
    private static final int MIN_NODES = 4;
    /** Without a lease a share is computed for at least so many nodes. */
    private static final int MIN_NODES_WITHOUT_LEASE = 24;

    private Lease lease;
    private long leaseUntilMs;
    private int maxNodes;

    void updateLease(Lease newLease, long nowMs) {
        lease = newLease;
        leaseUntilMs = nowMs + newLease.ttlMs();
        maxNodes = Math.max(maxNodes, newLease.nodes());
    }

    boolean hasLease(long nowMs) {
        return nowMs < leaseUntilMs;
    }

    /** How many nodes share, as far as is known. */
    int nodes(long nowMs) {
        return hasLease(nowMs)
                ? Math.max(MIN_NODES, Math.max(lease.nodes(), maxNodes))
                : Math.max(MIN_NODES_WITHOUT_LEASE, maxNodes * 2);
    }

    /** The most nodes that were ever known, at least {@value #MIN_NODES}. */
    int maxNodes() {
        return Math.max(MIN_NODES, maxNodes);
    }
}
