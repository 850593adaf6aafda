package ringspindle.loadbalancing;

/**
 * Slow start of one engine: until when it warms up, and what this node has used of its share of the rate that a warming
 * engine takes. {@link WarmupLimiter} decides by it. Confined to the lock of {@link EngineTableLoadBalancer}.
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

    /** The engine warms up at least until then; one that was warm begins without tokens. */
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
     * @param perS tokens per second
     * @param burst most tokens that the bucket holds
     * @return true if a whole token is there
     */
    boolean refill(double perS, double burst, long nowMs) {
        tokens = Math.min(burst, tokens + perS * Math.max(0, nowMs - refilledMs) / 1000);
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
