package ringspindle.loadbalancing;

/**
 * What runs at one engine: requests of this node, which are counted here, and requests of the other nodes, as the control
 * plane summed them a moment ago. Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class InFlightLoad {
    /** For so long the other nodes' load counts; after that a node relies on what it sees itself. */
    private static final int OTHERS_VALID_MS = 2500;

    private int ownRunning;
    private double ownTokens;
    /** Own load as it was last reported, which the sums of the control plane contain. */
    private int reportedRunning;

    private long reportedTokens;
    private int othersRunning;
    private long othersTokens;
    private long othersAtMs = Long.MIN_VALUE / 2;

    /** Requests of this node that run there. */
    int ownRunning() {
        return ownRunning;
    }

    /** Tokens of this node's requests that run there. */
    double ownTokens() {
        return ownTokens;
    }

    boolean isIdle() {
        return ownRunning == 0;
    }

    /** Requests of all nodes that run there, as far as is known. */
    int running(long nowMs) {
        return ownRunning + (othersAreValid(nowMs) ? othersRunning : 0);
    }

    /** Tokens of all nodes' requests that run there, as far as is known. */
    double tokens(long nowMs) {
        return ownTokens + (othersAreValid(nowMs) ? othersTokens : 0);
    }

    private boolean othersAreValid(long nowMs) {
        return nowMs - othersAtMs < OTHERS_VALID_MS;
    }

    void start(int tokens) {
        ownRunning++;
        ownTokens += tokens;
    }

    void end(int tokens) {
        ownRunning = Math.max(0, ownRunning - 1);
        // without requests there are no tokens, whatever was counted
        ownTokens = ownRunning == 0 ? 0 : Math.max(0, ownTokens - tokens);
    }

    /** Own load goes out in a report now. */
    void markReported() {
        reportedRunning = ownRunning;
        reportedTokens = (long) ownTokens;
    }

    /** The control plane's sum for this engine, own load included. */
    void updateTotals(int totalRunning, long totalTokens, long nowMs) {
        othersRunning = Math.max(0, totalRunning - reportedRunning);
        othersTokens = Math.max(0, totalTokens - reportedTokens);
        othersAtMs = nowMs;
    }

    /** The mean of the engine's region, where the control plane sums by region only. */
    void updateRegionMean(int meanRunning, long nowMs) {
        othersRunning = meanRunning;
        othersTokens = 0;
        othersAtMs = nowMs;
    }
}
