package ringspindle.proxy;

import ringspindle.time.MonotonicClock;

/** When the parts of an answer were written to the client, in ms of the steady clock. Thread safe. */
final class ResponseTiming {
    /** What {@link #firstWriteMs} says before anything was written. */
    static final long NOT_WRITTEN = -1;

    private final MonotonicClock clock;
    private long firstWriteMs = NOT_WRITTEN;
    private long lastMs;
    private long longestGapMs;

    ResponseTiming(MonotonicClock clock) {
        this.clock = clock;
    }

    /** A part is written now. */
    synchronized void onWrite() {
        long nowMs = clock.nowMs();
        if (firstWriteMs == NOT_WRITTEN) {
            firstWriteMs = nowMs;
        } else {
            longestGapMs = Math.max(longestGapMs, nowMs - lastMs);
        }
        lastMs = nowMs;
    }

    /** When the first part was written. */
    synchronized long firstWriteMs() {
        return firstWriteMs;
    }

    /** The longest pause between two parts, 0 with fewer than two. */
    synchronized long longestGapMs() {
        return longestGapMs;
    }
}
