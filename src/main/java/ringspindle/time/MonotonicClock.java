package ringspindle.time;

/** A clock that never goes back; the time of day decides nothing in this program. */
@FunctionalInterface
public interface MonotonicClock {
    /** Milliseconds since some moment of this process, above 0; {@code long waitedMs = clock.nowMs() - sinceMs}. */
    long nowMs();

    /** The clock of the machine. It starts at a million: times shortly before a start are above 0 too. */
    static MonotonicClock system() {
        long startNanos = System.nanoTime();
        long startMs = 1_000_000;
        long nanosPerMs = 1_000_000;
        return () -> (System.nanoTime() - startNanos) / nanosPerMs + startMs;
    }
}
