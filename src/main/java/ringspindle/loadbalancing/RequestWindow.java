package ringspindle.loadbalancing;

import java.util.Arrays;

/** Requests and retries of one service in the last {@value #SECONDS} whole seconds of steady time. */
final class RequestWindow {
    private static final int SECONDS = 32;
    private static final long UNSET = Long.MIN_VALUE;

    private final int[] requests = new int[SECONDS];
    private final int[] retries = new int[SECONDS];
    private long second = UNSET;

    /** Moves on to now; counts that are older than the window are dropped. Time never goes back. */
    void advance(long nowMs) {
        long nowS = nowMs / 1000;
        if (second == UNSET || nowS - second >= SECONDS) {
            Arrays.fill(requests, 0);
            Arrays.fill(retries, 0);
        } else {
            for (long entered = second + 1; entered <= nowS; entered++) {
                requests[index(entered)] = 0;
                retries[index(entered)] = 0;
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

    /** Requests of the last seconds, the present one included. */
    int requests(int windowS) {
        return sum(requests, windowS);
    }

    /** Retries of the last seconds, the present one included. */
    int retries(int windowS) {
        return sum(retries, windowS);
    }

    private int sum(int[] counts, int windowS) {
        int sum = 0;
        for (int ago = 0; ago < windowS; ago++) {
            // the offset keeps the index from falling below 0 in the first seconds
            sum += counts[index(second - ago + SECONDS * 1000L)];
        }
        return sum;
    }

    private static int index(long second) {
        return (int) (second % SECONDS);
    }
}
