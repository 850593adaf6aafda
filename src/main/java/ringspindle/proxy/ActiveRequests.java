package ringspindle.proxy;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The requests under way. Closing and refusing are one step: once it is closed no request begins, so that each one either
 * is seen by whoever ends the node or is never begun. Thread safe.
 *
 * <pre>{@code
 * if (active.begin()) {
 *     active.track(request.id(), request);
 * } else {
 *     refuse();
 * }
 * }</pre>
 */
final class ActiveRequests {
    /** A request that is under way. */
    @FunctionalInterface
    interface Cancellable {
        /** The node ends: the request gets its final answer now. Has no effect on one that has ended. */
        void onNodeTermination();
    }

    /** Stands beside the count once none may begin any more. */
    private static final long CLOSED_BIT = 1L << 62;

    private final AtomicLong state = new AtomicLong();
    private final Map<String, Cancellable> cancellables = new ConcurrentHashMap<>();

    /** Counts a request; false if none may begin any more. */
    boolean begin() {
        long previous = state.getAndUpdate(current -> isClosed(current) ? current : current + 1);
        return !isClosed(previous);
    }

    /** A request that was counted can be ended with the node from now on. */
    void track(String id, Cancellable request) {
        cancellables.put(id, request);
        if (isClosed(state.get())) {
            // closed between its beginning and this, so that whoever closed may not have seen it
            request.onNodeTermination();
        }
    }

    /** A request that was tracked goes on under another id, which is tracked next. */
    void untrack(String id) {
        cancellables.remove(id);
    }

    /** A request that was counted is over. */
    void end(String id) {
        cancellables.remove(id);
        state.decrementAndGet();
    }

    /** How many are under way. */
    long count() {
        return state.get() & ~CLOSED_BIT;
    }

    /** Lets none begin from now on, if none is under way; true if so. */
    boolean closeIfIdle() {
        return state.compareAndSet(0, CLOSED_BIT) || state.get() == CLOSED_BIT;
    }

    /** Lets none begin from now on, and gives those under way their final answer; returns how many there were. */
    long closeAndCancelAll() {
        long previous = state.getAndUpdate(current -> current | CLOSED_BIT);
        cancellables.values().forEach(Cancellable::onNodeTermination);
        return previous & ~CLOSED_BIT;
    }

    private static boolean isClosed(long state) {
        return (state & CLOSED_BIT) != 0;
    }
}
