package ringspindle.loadbalancing;

/**
 * Detects whether one engine fails far more of its requests than the other engines of its service. Such an engine is
 * degraded for a period that doubles when the engine is degraded again soon; meanwhile {@link CandidateFilter} sends it
 * only a fraction of its usual traffic.
 *
 * <p>Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class FailureRateOutlier {
    /** Failure rate that is tolerated even if no other engine fails. */
    private static final double TOLERATED_FAILURE_RATE = 0.2;
    /** Multiple of the other engines' failure rate that is tolerated in addition. */
    private static final double OTHERS_FAILURE_RATE_FACTOR = 1.5;
    /** With fewer failures an engine is not an outlier, whatever its failure rate. */
    private static final int MIN_FAILURES = 3;

    private static final int DEGRADED_MS = 1500;
    private static final int MAX_DEGRADED_MS = 8000;
    /** The degraded period doubles for an engine that is degraded again within this time of the last start. */
    private static final int REPEAT_WINDOW_MS = 15_000;

    private static final int MAX_BACKOFF_EXPONENT = 3;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long degradedUntilMs = NEVER;
    private long degradedSinceMs = NEVER;
    private int backoffExponent;

    boolean isDegraded(long nowMs) {
        return nowMs < degradedUntilMs;
    }

    /** Compares the outcomes at this engine with those at the other engines of its service. */
    void update(int answered, int failed, int othersAnswered, int othersFailed, long nowMs) {
        if (!isOutlier(answered, failed, othersAnswered, othersFailed)) {
            return;
        }
        if (isDegraded(nowMs)) {
            degradedUntilMs = Math.max(degradedUntilMs, nowMs + DEGRADED_MS);
            return;
        }
        boolean repeated = nowMs - degradedSinceMs < REPEAT_WINDOW_MS;
        backoffExponent = repeated ? Math.min(MAX_BACKOFF_EXPONENT, backoffExponent + 1) : 0;
        degradedSinceMs = nowMs;
        degradedUntilMs = nowMs + Math.min(MAX_DEGRADED_MS, DEGRADED_MS << backoffExponent);
    }

    private static boolean isOutlier(int answered, int failed, int othersAnswered, int othersFailed) {
        int attempts = answered + failed;
        double othersRate = othersFailed / Math.max(1.0, othersAnswered + othersFailed);
        return failed >= MIN_FAILURES
                && failed > attempts * (TOLERATED_FAILURE_RATE + OTHERS_FAILURE_RATE_FACTOR * othersRate);
    }
}
