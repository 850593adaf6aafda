package ringspindle.quota;

/**
 * What a tenant may have over all nodes.
 *
 * @param ratePerS requests a second
 * @param burstSize requests on top
 */
public record TenantLimit(double ratePerS, double burstSize) {
    private static final double STEADY_PART = 0.85;
    private static final double BURST_FACTOR = 1.1;
    private static final double BURST_MORE = 15;

    /** Tokens a second by which a bucket is refilled: so much of the rate that a change of the head stays within the bound. */
    public double refillPerS() {
        return ratePerS * STEADY_PART;
    }

    /** The most tokens that a bucket holds. */
    public double bucketSize() {
        return burstSize * BURST_FACTOR + BURST_MORE;
    }
}
