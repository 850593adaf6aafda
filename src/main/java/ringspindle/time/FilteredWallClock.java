package ringspindle.time;

import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * The time of day as most of its last samples say, gone on with the monotonic clock: a step of the machine's time of day that is taken
 * back within {@value #SAMPLES} / 2 seconds has no effect, and a process that started during one is right soon after it. For numbering
 * windows of the wall clock, and for nothing that decides. Thread safe.
 */
public final class FilteredWallClock {
    private static final int SAMPLES = 31;
    private static final int SAMPLE_PERIOD_MS = 1000;

    private final LongSupplier wallMs;
    /** Differences of the time of day and the monotonic clock, in a ring. */
    private final long[] offsets = new long[SAMPLES];

    private int count;
    private long sampledMs;
    private long median;

    private FilteredWallClock(LongSupplier wallMs, long steadyMs) {
        this.wallMs = wallMs;
        sample(steadyMs);
    }

    /** The machine's time of day; {@code FilteredWallClock.system(clock.nowMs()).wallMs(clock.nowMs())}. */
    public static FilteredWallClock system(long steadyMs) {
        return new FilteredWallClock(System::currentTimeMillis, steadyMs);
    }

    /** A time of day that is read from elsewhere, in ms since the start of 1970. */
    static FilteredWallClock of(LongSupplier wallMs, long steadyMs) {
        return new FilteredWallClock(wallMs, steadyMs);
    }

    /** Takes a sample if one is due; to be called at least once a second. */
    public synchronized void tick(long steadyMs) {
        if (steadyMs - sampledMs >= SAMPLE_PERIOD_MS) {
            sample(steadyMs);
        }
    }

    private void sample(long steadyMs) {
        sampledMs = steadyMs;
        offsets[count % SAMPLES] = wallMs.getAsLong() - steadyMs;
        count++;
        long[] sorted = Arrays.copyOf(offsets, Math.min(count, SAMPLES));
        Arrays.sort(sorted);
        median = sorted[sorted.length / 2];
    }

    /** Milliseconds since the start of 1970 at that moment of the monotonic clock. */
    public synchronized long wallMs(long steadyMs) {
        return steadyMs + median;
    }
}
