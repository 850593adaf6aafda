package ringspindle.experiment;

/**
 * One side compared with the first one.
 *
 * @param side index of the side
 * @param route name of the route
 * @param region name of the region, {@link #ALL_REGIONS} for all together
 * @param measure what is compared
 * @param difference of the side's mean less that of the first side
 * @param radius the difference lies within this of the estimate, at the error rate of this look
 */
public record Comparison(int side, String route, String region, Measure measure, double difference, double radius) {
    /** Stands for all regions together. */
    public static final String ALL_REGIONS = "all";

    /** What is compared. */
    public enum Measure {
        /** Share of the requests that end badly. */
        BAD,
        /** Mean part of the latency target that the first byte takes. */
        USE
    }

    /** True if the difference is beyond the margin for sure, at this look's error rate. */
    boolean exceeds(double margin) {
        return Math.abs(difference) - radius > margin;
    }

    /** True if the side is the worse one; more of either measure is worse. */
    boolean sideIsWorse() {
        return difference > 0;
    }
}
