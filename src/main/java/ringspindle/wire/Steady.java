package ringspindle.wire;

/** The steady clock; the time of day decides nothing here. */
public interface Steady {
    /** Milliseconds since some moment of this process; {@code long waitMs = clock.nowMs() - sinceMs}. */
    long nowMs();

    /** {@code Steady.system().nowMs()} never goes back. */
    static Steady system() {
        long start = System.nanoTime();
        return () -> (System.nanoTime() - start) / 1_000_000 + 1_000_000;
    }
}
