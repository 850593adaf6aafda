package ringspindle.loadbalancing;

/**
 * Slow start state of one engine: the end of its warm-up, and how much of its share of the warm-up rate this node has
 * used. {@link WarmupLimiter} applies the limits. Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class SlowStart {
    private static final long NO_SLOT = Long.MIN_VALUE;

    private long untilMs;
    private double tokens;
    private long refilledMs;
    private long usedSlot = NO_SLOT;

    SlowStart(long nowMs) {
        refilledMs = nowMs;
    }

    boolean isWarmingUp(long nowMs) {
        return untilMs > nowMs;
    }

    /**
     * Extends the warm-up to at least that time; an engine that was not warming up starts with an empty token bucket.
     */
    void extend(long newUntilMs, long nowMs) {
        if (untilMs <= nowMs) {
            tokens = 0;
            refilledMs = nowMs;
        }
        untilMs = Math.max(untilMs, newUntilMs);
    }

    /**
     * Refills the token bucket.
     *
     * @param ratePerS tokens per second
     * @param burst capacity of the bucket
     * @return true if the bucket has a whole token
     */
    boolean refill(double ratePerS, double burst, long nowMs) {
        tokens = Math.min(burst, tokens + ratePerS * Math.max(0, nowMs - refilledMs) / 1000);
        refilledMs = nowMs;
        return tokens >= 1;
    }

    void takeToken() {
        tokens -= 1;
    }

    boolean isSlotUsed(long slot) {
        return slot == usedSlot;
    }

    void useSlot(long slot) {
        usedSlot = slot;
    }
}
