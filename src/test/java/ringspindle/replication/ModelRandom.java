package ringspindle.replication;

/**
 * Pseudo-random generator that depends only on seed, stream and draw counter.
 *
 * <p>A shortened schedule therefore draws the same values as the one it was derived from.
 */
final class ModelRandom {
    private final long seed;
    private final long stream;
    private long count;

    ModelRandom(long seed, long stream) {
        this.seed = seed;
        this.stream = stream;
    }

    /** Returns the next value from 0 up to, but not including, {@code bound}. */
    int below(int bound) {
        return (int) Math.floorMod(mix(seed, stream, count++), (long) bound);
    }

    boolean oneIn(int denominator) {
        return below(denominator) == 0;
    }

    /** Returns a 64-bit hash of three numbers. */
    static long mix(long first, long second, long third) {
        return scramble(scramble(scramble(first) + second) + third);
    }

    private static long scramble(long value) {
        long z = value + 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
