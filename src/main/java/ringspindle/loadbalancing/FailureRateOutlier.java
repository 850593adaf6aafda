package ringspindle.loadbalancing;

/**
 * Whether one engine fails far more of its requests than the others do. Such an engine is degraded for a while, which is
 * the longer the more often it comes back to it; {@link CandidateFilter} then sends it a fraction of its share only.
 *
 * <p>Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class FailureRateOutlier {
    /** Share of failures that an engine may have on its own account. */
    private static final double TOLERATED_RATE = 0.2;
    /** How much of the others' failure rate is tolerated besides. */
    private static final double OTHERS_RATE_FACTOR = 1.5;
    /** Fewer failures than this say nothing. */
    private static final int MIN_FAILURES = 3;

    private static final int DEGRADED_MS = 1500;
    private static final int MAX_DEGRADED_MS = 8000;
    /** An engine that is degraded again within this time of the last start is so for twice as long. */
    private static final int RELAPSE_MS = 15_000;

    private static final int MAX_RELAPSES = 3;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long degradedUntilMs = NEVER;
    private long degradedSinceMs = NEVER;
    private int relapses;

    boolean isDegraded(long nowMs) {
        return nowMs < degradedUntilMs;
    }

    /** Compares the engine's attempts with those at the other engines of its service. */
    void update(int answered, int failed, int othersAnswered, int othersFailed, long nowMs) {
        if (!isOutlier(answered, failed, othersAnswered, othersFailed)) {
            return;
        }
        if (isDegraded(nowMs)) {
            degradedUntilMs = Math.max(degradedUntilMs, nowMs + DEGRADED_MS);
            return;
        }
        boolean relapse = nowMs - degradedSinceMs < RELAPSE_MS;
        relapses = relapse ? Math.min(MAX_RELAPSES, relapses + 1) : 0;
        degradedSinceMs = nowMs;
        degradedUntilMs = nowMs + Math.min(MAX_DEGRADED_MS, DEGRADED_MS << relapses);
    }

    private static boolean isOutlier(int answered, int failed, int othersAnswered, int othersFailed) {
        int attempts = answered + failed;
        double othersRate = othersFailed / Math.max(1.0, othersAnswered + othersFailed);
        return failed >= MIN_FAILURES && failed > attempts * (TOLERATED_RATE + OTHERS_RATE_FACTOR * othersRate);
    }
}
