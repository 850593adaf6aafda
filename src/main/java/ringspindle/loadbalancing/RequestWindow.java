package ringspindle.loadbalancing;

import java.util.Arrays;

/**
 * Sliding window of the requests and retries of one service over the last {@value #SECONDS} whole seconds of monotonic
 * time.
 */
final class RequestWindow {
    private static final int SECONDS = 32;
    private static final long UNSET = Long.MIN_VALUE;

    private final int[] requests = new int[SECONDS];
    private final int[] retries = new int[SECONDS];
    private long second = UNSET;

    /** Moves the window to the current time and drops older counts. Time must not go backwards. */
    void advance(long nowMs) {
        long nowS = nowMs / 1000;
        if (second == UNSET || nowS - second >= SECONDS) {
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
        } else {
            for (long newSecond = second + 1; newSecond <= nowS; newSecond++) {
                requests[index(newSecond)] = 0;
                retries[index(newSecond)] = 0;
            }
        }
        second = Math.max(second, nowS);
    }

    void countRequest() {
        requests[index(second)]++;
    }

    void countRetry() {
        retries[index(second)]++;
    }

    /** Returns the requests of the last {@code windowS} seconds, including the current one. */
    int requests(int windowS) {
        return sum(requests, windowS);
    }

    /** Returns the retries of the last {@code windowS} seconds, including the current one. */
    int retries(int windowS) {
        return sum(retries, windowS);
    }

    private int sum(int[] counts, int windowS) {
        int sum = 0;
        for (int ago = 0; ago < windowS; ago++) {
            // the offset keeps the index non-negative in the first seconds
            sum += counts[index(second - ago + SECONDS * 1000L)];
        }
        return sum;
    }

    private static int index(long second) {
        return (int) (second % SECONDS);
    }
}
