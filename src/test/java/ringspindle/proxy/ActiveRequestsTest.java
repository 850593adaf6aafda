package ringspindle.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A node ends only when nothing is under way, and nothing begins once it does. */
class ActiveRequestsTest {
    private static final int ROUNDS = 2000;

    private final ActiveRequests active = new ActiveRequests();

    @Test
    void requestUnderWayKeepsItOpenAndNoneBeginsOnceItIsClosed() {
        assertTrue(active.begin());
        assertFalse(active.closeIfNone());
        assertEquals(1, active.count());
        active.end("a");
        assertTrue(active.closeIfNone());
        assertTrue(active.closeIfNone(), "it stays closed");
        assertFalse(active.begin());
        assertEquals(0, active.count());
    }

    @Test
    void endOfTheNodeReachesEachRequestThatBeganAndNoneBeginsAfterIt() {
        List<String> ended = new ArrayList<>();
        assertTrue(active.begin());
        active.track("a", () -> ended.add("a"));
        assertTrue(active.begin(), "begun, and not yet tracked when the node ends");
        assertEquals(2, active.closeAndEndAll());
        assertEquals(List.of("a"), ended);
        active.track("b", () -> ended.add("b"));
        assertEquals(List.of("a", "b"), ended);
        assertFalse(active.begin());
    }

    @Test
    void ofABeginningAndAClosingAtOnceOneGoesFirst() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            ActiveRequests raced = new ActiveRequests();
            CountDownLatch both = new CountDownLatch(2);
            AtomicInteger begun = new AtomicInteger();
            Thread request = new Thread(() -> {
                both.countDown();
                begun.addAndGet(raced.begin() ? 1 : 0);
            });
            request.start();
            both.countDown();
            boolean closed = raced.closeIfNone();
            request.join();
            assertEquals(closed ? 0 : 1, begun.get(), "round " + round);
        }
    }
}
