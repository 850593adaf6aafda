package ringspindle.routing;

/**
 * Weights of the cost function that selects an engine unless a serving rule is more specific. A policy may change them:
 * they rank the eligible engines and never make another engine eligible.
 *
 * @param otherRegionMs network cost of an engine in another region, in ms
 * @param runningRequestMs cost of each request that already runs on the engine, in ms
 * @param maxImbalance multiple of the mean load that the engine holding a prefix may reach before another engine
 *     recomputes the prefix
 */
public record CostWeights(double otherRegionMs, double runningRequestMs, double maxImbalance) {
    /** Weights used unless a policy sets others. */
    public static final CostWeights DEFAULT = new CostWeights(30, 4, 1.5);
}
