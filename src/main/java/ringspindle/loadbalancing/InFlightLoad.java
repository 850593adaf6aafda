package ringspindle.loadbalancing;

/**
 * Requests and tokens in flight at one engine: those of this node, which are counted here, and those of the other
 * nodes, which the control plane aggregates and which are slightly out of date. Confined to the lock of {@link
 * EngineTableLoadBalancer}.
 */
final class InFlightLoad {
    /** How long the other nodes' load is used without an update; after that only this node's load counts. */
    private static final int OTHER_NODES_LOAD_TTL_MS = 2500;

    private int ownRunning;
    private double ownTokens;
    /** Own load as last reported, which the totals from the control plane include. */
    private int reportedRunning;

    private long reportedTokens;
    private int otherNodesRunning;
    private long otherNodesTokens;
    private long otherNodesUpdatedMs = Long.MIN_VALUE / 2;

    /** Returns the number of requests of this node in flight. */
    int ownRunning() {
        return ownRunning;
    }

    /** Returns the tokens of this node's requests in flight. */
    double ownTokens() {
        return ownTokens;
    }

    boolean isIdle() {
        return ownRunning == 0;
    }

    /** Returns the number of requests of all nodes in flight, as far as known. */
    int running(long nowMs) {
        return ownRunning + (isOtherNodesLoadValid(nowMs) ? otherNodesRunning : 0);
    }

    /** Returns the tokens of all nodes' requests in flight, as far as known. */
    double tokens(long nowMs) {
        return ownTokens + (isOtherNodesLoadValid(nowMs) ? otherNodesTokens : 0);
    }

    private boolean isOtherNodesLoadValid(long nowMs) {
        return nowMs - otherNodesUpdatedMs < OTHER_NODES_LOAD_TTL_MS;
    }

    void start(int tokens) {
        ownRunning++;
        ownTokens += tokens;
    }

    void end(int tokens) {
        ownRunning = Math.max(0, ownRunning - 1);
        // no running requests means no tokens in flight, whatever was counted
        ownTokens = ownRunning == 0 ? 0 : Math.max(0, ownTokens - tokens);
    }

    /** Remembers the own load that is being reported to the control plane. */
    void markReported() {
        reportedRunning = ownRunning;
        reportedTokens = (long) ownTokens;
    }

    /** Updates the other nodes' load from the control plane's total for this engine, which includes the own load. */
    void updateTotals(int totalRunning, long totalTokens, long nowMs) {
        otherNodesRunning = Math.max(0, totalRunning - reportedRunning);
        otherNodesTokens = Math.max(0, totalTokens - reportedTokens);
        otherNodesUpdatedMs = nowMs;
    }

    /** Uses the mean load of the engine's region, for regions that the control plane aggregates only as a whole. */
    void updateRegionMean(int meanRunning, long nowMs) {
        otherNodesRunning = meanRunning;
        otherNodesTokens = 0;
        otherNodesUpdatedMs = nowMs;
    }
}
