package ringspindle.experiment;

/**
 * What was counted.
 *
 * @param requests requests that ended, but for those that clients gave up
 * @param bad those of them that were late, refused, broken off or failed
 * @param use sum over them of the part of the latency target that the first byte took, in thousandths, at most 2000 each
 */
public record Counts(long requests, long bad, long use) {
    /** Nothing. */
    public static final Counts NONE = new Counts(0, 0, 0);

    /** Both together. */
    public Counts plus(Counts other) {
        return new Counts(requests + other.requests, bad + other.bad, use + other.use);
    }

    /** This without what was counted earlier; never below nothing, as a source may have been lost meanwhile. */
    public Counts minus(Counts earlier) {
        return new Counts(
                Math.max(0, requests - earlier.requests),
                Math.max(0, bad - earlier.bad),
                Math.max(0, use - earlier.use));
    }
}
