package ringspindle.telemetry;

/**
 * How long first bytes took, in buckets that can be added. Each bucket holds what is above the bound of the one before it
 * and up to its own.
 *
 * @param over2500Ms what took longer than all bounds
 */
public record LatencyHistogram(
        int upTo50Ms, int upTo150Ms, int upTo400Ms, int upTo1000Ms, int upTo2500Ms, int over2500Ms) {
    /** Number of buckets. */
    public static final int BUCKETS = 6;
    /** No first bytes. */
    public static final LatencyHistogram EMPTY = new LatencyHistogram(0, 0, 0, 0, 0, 0);

    private static final int[] BOUNDS_MS = {50, 150, 400, 1000, 2500};

    /** The index of the bucket that a latency in ms falls into, from 0; 120 ms fall into bucket 1. */
    public static int bucketOf(long latencyMs) {
        int bucket = 0;
        while (bucket < BOUNDS_MS.length && latencyMs > BOUNDS_MS[bucket]) {
            bucket++;
        }
        return bucket;
    }

    /** Both together. */
    public LatencyHistogram merge(LatencyHistogram other) {
        return new LatencyHistogram(
                upTo50Ms + other.upTo50Ms,
                upTo150Ms + other.upTo150Ms,
                upTo400Ms + other.upTo400Ms,
                upTo1000Ms + other.upTo1000Ms,
                upTo2500Ms + other.upTo2500Ms,
                over2500Ms + other.over2500Ms);
    }
}
