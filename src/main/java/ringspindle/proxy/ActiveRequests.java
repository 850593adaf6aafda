package ringspindle.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the requests under way. It can be closed only in one step with the finding that there are none, so that a request
 * either keeps the node from ending or is never begun. Thread safe.
 *
 * <pre>{@code
 * if (active.begin()) {
 *     try { serve(); } finally { active.end(); }
 * } else {
 *     refuse();
 * }
 * }</pre>
 */
final class ActiveRequests {
    private static final long CLOSED = -1;

    private final AtomicLong count = new AtomicLong();

    /** Counts a request; false if none may begin any more. */
    boolean begin() {
        return count.updateAndGet(requests -> requests == CLOSED ? CLOSED : requests + 1) != CLOSED;
    }

    /** A request that was counted is over. */
    void end() {
        count.decrementAndGet();
    }

    /** How many are under way. */
    long count() {
        return Math.max(0, count.get());
    }

    /** Lets none begin from now on, if none is under way; true if so. */
    boolean closeIfNone() {
        return count.compareAndSet(0, CLOSED) || count.get() == CLOSED;
    }
}
