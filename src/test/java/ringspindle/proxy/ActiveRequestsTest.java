package ringspindle.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against a request that starts while the node closes: it must be counted before the close or rejected. */
class ActiveRequestsTest {
    private static final int ROUNDS = 2000;

    private final ActiveRequests active = new ActiveRequests();

    @Test
    void closesOnlyWhenIdleAndRejectsRequestsOnceClosed() {
        assertTrue(active.begin());
        assertFalse(active.closeIfIdle());
        assertEquals(1, active.count());
        active.end("a");
        assertTrue(active.closeIfIdle());
        assertTrue(active.closeIfIdle(), "closing again must report that the registry is closed");
        assertFalse(active.begin());
        assertEquals(0, active.count());
    }

    @Test
    void closingCancelsEveryActiveRequestAndRejectsNewOnes() {
        List<String> ended = new ArrayList<>();
        assertTrue(active.begin());
        active.track("a", () -> ended.add("a"));
        assertTrue(active.begin(), "begun, but not yet tracked when the registry closes");
        assertEquals(2, active.closeAndCancelAll());
        assertEquals(List.of("a"), ended);
        active.track("b", () -> ended.add("b"));
        assertEquals(List.of("a", "b"), ended);
        assertFalse(active.begin());
    }

    @Test
    void concurrentBeginAndCloseAreMutuallyExclusive() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            ActiveRequests contended = new ActiveRequests();
            CountDownLatch barrier = new CountDownLatch(2);
            AtomicInteger begunCount = new AtomicInteger();
            Thread request = new Thread(() -> {
                barrier.countDown();
                begunCount.addAndGet(contended.begin() ? 1 : 0);
            });
            request.start();
            barrier.countDown();
            boolean closed = contended.closeIfIdle();
            request.join();
            assertEquals(closed ? 0 : 1, begunCount.get(), "round " + round);
        }
    }
}
