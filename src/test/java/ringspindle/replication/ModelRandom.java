package ringspindle.replication;

/** Chance that depends on names and counters only, so that a shorter schedule keeps the draws of the longer one. */
final class ModelRandom {
    private final long seed;
    private final long stream;
    private long count;

    ModelRandom(long seed, long stream) {
        this.seed = seed;
        this.stream = stream;
    }

    /** {@code new ModelRandom(7, 1).below(10)} is 0 to 9. */
    int below(int bound) {
        return (int) Math.floorMod(mix(seed, stream, count++), (long) bound);
    }

    boolean oneIn(int denominator) {
        return below(denominator) == 0;
    }

    /** A hash of three numbers. */
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
