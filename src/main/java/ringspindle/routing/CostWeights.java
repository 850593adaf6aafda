package ringspindle.routing;

/**
 * Weights of the cost by which an engine is chosen where no serving rule says more. A policy may change them: they order the
 * engines that may serve a request and never add one.
 *
 * @param otherRegionMs what an engine of another region costs more than one near, in ms
 * @param runningRequestMs what one more running request costs the next one, in ms
 * @param maxImbalance how many times the mean load the holder of a prefix may have before another engine reads it anew
 */
public record CostWeights(double otherRegionMs, double runningRequestMs, double maxImbalance) {
    /** The weights where no policy says otherwise. */
    public static final CostWeights DEFAULT = new CostWeights(30, 4, 1.5);
}
