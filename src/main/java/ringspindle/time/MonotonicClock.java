package ringspindle.time;

/** The steady clock; the time of day decides nothing here. */
public interface MonotonicClock {
    /** Milliseconds since some moment of this process; {@code long waitMs = clock.nowMs() - sinceMs}. */
    long nowMs();

    /** {@code MonotonicClock.system().nowMs()} never goes back. */
    static MonotonicClock system() {
        long start = System.nanoTime();
        return () -> (System.nanoTime() - start) / 1_000_000 + 1_000_000;
    }
}
