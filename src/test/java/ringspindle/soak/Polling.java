package ringspindle.soak;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for other processes, which nothing but asking again tells of. */
final class Polling {
    private static final int INTERVAL_MS = 100;

    /** Something that becomes true in time. */
    interface Condition {
        boolean holds() throws InterruptedException;
    }

    private Polling() {}

    /** Lets other processes go on for a moment. */
    static void pause() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS));
    }

    /** Asks until the condition holds; false if it does not within the time limit. */
    static boolean until(Duration limit, Condition condition) throws InterruptedException {
        long startNs = System.nanoTime();
        while (!condition.holds()) {
            if (System.nanoTime() - startNs > limit.toNanos()) {
                return false;
            }
            pause();
        }
        return true;
    }
}
