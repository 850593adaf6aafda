package ringspindle.proxy;

import ringspindle.time.MonotonicClock;

/** Records when the parts of a response were written to the client, in ms of the monotonic clock. Thread safe. */
final class ResponseTiming {
    /** Returned by {@link #firstWriteMs} before the first write. */
    static final long NOT_WRITTEN = -1;

    private final MonotonicClock clock;
    private long firstWriteMs = NOT_WRITTEN;
    private long lastWriteMs;
    private long longestGapMs;

    ResponseTiming(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records that a part is being written now. */
    synchronized void onWrite() {
        long nowMs = clock.nowMs();
        if (firstWriteMs == NOT_WRITTEN) {
            firstWriteMs = nowMs;
        } else {
            longestGapMs = Math.max(longestGapMs, nowMs - lastWriteMs);
        }
        lastWriteMs = nowMs;
    }

    /** Returns the time of the first write, {@link #NOT_WRITTEN} before it. */
    synchronized long firstWriteMs() {
        return firstWriteMs;
    }

    /** Returns the longest gap between two consecutive writes, 0 with fewer than two. */
    synchronized long longestGapMs() {
        return longestGapMs;
    }
}
