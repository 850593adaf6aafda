package ringspindle.loadbalancing;

import ringspindle.protocol.Message.Lease;

/**
 * The number of nodes by which fleet-wide quotas are divided: retries, requests to warming engines, and connections.
 * The number comes with a lease from the control plane. Without a lease a node assumes more nodes than it has ever
 * known, so that all shares together stay within the quota.
 *
 * <p>Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class QuotaShare {
    /** Fraction of a quota that is used; the rest covers the time in which nodes disagree on the number of nodes. */
    static final double USED_FRACTION = 0.8;
    /** Minimum number of nodes that a share is computed for. */
    private static final int MIN_NODES = 4;
    /** Minimum number of nodes that a share is computed for without a lease. */
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

    /** Returns the number of nodes to divide a quota by. */
    int nodes(long nowMs) {
        return hasLease(nowMs)
                ? Math.max(MIN_NODES, Math.max(lease.nodes(), maxNodes))
                : Math.max(MIN_NODES_WITHOUT_LEASE, maxNodes * 2);
    }

    /** Returns the largest number of nodes ever known, at least {@value #MIN_NODES}. */
    int maxNodes() {
        return Math.max(MIN_NODES, maxNodes);
    }
}
