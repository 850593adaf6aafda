package ringspindle.proxy;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Registry of the requests in progress. Closing is atomic with admission: a request is either counted before the close, and
 * then cancelled or waited for by the shutdown, or it is rejected. Thread safe.
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
    /** A request in progress. */
    @FunctionalInterface
    interface Cancellable {
        /** Sends the final response now because the node terminates. Has no effect on a request that has ended. */
        void onNodeTermination();
    }

    /** Set in the state, next to the count, once no further request may begin. */
    private static final long CLOSED_BIT = 1L << 62;

    private final AtomicLong state = new AtomicLong();
    private final Map<String, Cancellable> cancellables = new ConcurrentHashMap<>();

    /** Counts a request; returns false if the registry is closed. */
    boolean begin() {
        long previous = state.getAndUpdate(current -> isClosed(current) ? current : current + 1);
        return !isClosed(previous);
    }

    /** Registers a counted request, so that it is cancelled when the node terminates. */
    void track(String id, Cancellable request) {
        cancellables.put(id, request);
        if (isClosed(state.get())) {
            // closed between begin() and put(): closeAndCancelAll() may have missed this request
            request.onNodeTermination();
        }
    }

    /** Unregisters a request that continues under another id, which is tracked next; it stays counted. */
    void untrack(String id) {
        cancellables.remove(id);
    }

    /** Unregisters and uncounts a request that has ended. */
    void end(String id) {
        cancellables.remove(id);
        state.decrementAndGet();
    }

    /** Returns the number of requests in progress. */
    long count() {
        return state.get() & ~CLOSED_BIT;
    }

    /** Closes the registry if no request is in progress; returns true if it is closed now. */
    boolean closeIfIdle() {
        return state.compareAndSet(0, CLOSED_BIT) || state.get() == CLOSED_BIT;
    }

    /** Closes the registry and cancels all requests in progress; returns how many there were. */
    long closeAndCancelAll() {
        long previous = state.getAndUpdate(current -> current | CLOSED_BIT);
        cancellables.values().forEach(Cancellable::onNodeTermination);
        return previous & ~CLOSED_BIT;
    }

    private static boolean isClosed(long state) {
        return (state & CLOSED_BIT) != 0;
    }
}
