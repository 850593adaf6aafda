package ringspindle.proxy;

import ringspindle.time.MonotonicClock;

/** When the parts of an answer were written to the client, in ms of the steady clock. Thread safe. */
final class AnswerTiming {
    /** What {@link #firstMs} says before anything was written. */
    static final long NOTHING_YET = -1;

    private final MonotonicClock clock;
    private long firstMs = NOTHING_YET;
    private long lastMs;
    private long longestPauseMs;

    AnswerTiming(MonotonicClock clock) {
        this.clock = clock;
    }

    /** A part is written now. */
    synchronized void onPart() {
        long nowMs = clock.nowMs();
        if (firstMs == NOTHING_YET) {
            firstMs = nowMs;
        } else {
            longestPauseMs = Math.max(longestPauseMs, nowMs - lastMs);
        }
        lastMs = nowMs;
    }

    /** When the first part was written. */
    synchronized long firstMs() {
        return firstMs;
    }

    /** The longest pause between two parts, 0 with fewer than two. */
    synchronized long longestPauseMs() {
        return longestPauseMs;
    }
}
