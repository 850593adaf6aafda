package ringspindle.proxy;

import org.eclipse.jetty.client.Result;

/** The write to the client, of which at most one is pending, and what came meanwhile. Guarded by its owner. */
final class PendingWrite {
    private enum State {
        NONE,
        PENDING,
        /** The attempt's own timeout came while it was pending, when nobody read from the engine. */
        PENDING_PAST_TIMEOUT
    }

    private State state = State.NONE;
    /** How the exchange with the engine ended, where that came while a write was pending. */
    private Result deferred;

    void begin() {
        state = State.PENDING;
    }

    boolean isPending() {
        return state != State.NONE;
    }

    /** The attempt's own timeout came; it counts again once the write is done. */
    void deferTimeout() {
        state = State.PENDING_PAST_TIMEOUT;
    }

    boolean isPastTimeout() {
        return state == State.PENDING_PAST_TIMEOUT;
    }

    /** The exchange with the engine ended; it is handled once the write is done. */
    void defer(Result result) {
        deferred = result;
    }

    /** The write is done; true if the attempt's own timeout came meanwhile. */
    boolean end() {
        boolean pastTimeout = isPastTimeout();
        state = State.NONE;
        return pastTimeout;
    }

    /** What was deferred, null if nothing was. */
    Result takeDeferred() {
        Result result = deferred;
        deferred = null;
        return result;
    }
}
