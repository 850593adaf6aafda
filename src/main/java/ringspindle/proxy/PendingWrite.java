package ringspindle.proxy;

import org.eclipse.jetty.client.Result;

/** Tracks the write to the client, at most one at a time, and what is deferred until it ends. Guarded by its owner. */
final class PendingWrite {
    private enum State {
        NONE,
        PENDING,
        /** The attempt timed out during the write, while nothing was read from the engine. */
        PENDING_PAST_TIMEOUT
    }

    private State state = State.NONE;
    /** The result of the exchange with the engine, if that ended during a write. */
    private Result deferred;

    void begin() {
        state = State.PENDING;
    }

    boolean isPending() {
        return state != State.NONE;
    }

    /** Defers the attempt's timeout, which starts again after the write. */
    void deferTimeout() {
        state = State.PENDING_PAST_TIMEOUT;
    }

    boolean isPastTimeout() {
        return state == State.PENDING_PAST_TIMEOUT;
    }

    /** Defers the end of the exchange with the engine until after the write. */
    void defer(Result result) {
        deferred = result;
    }

    /** Ends the write; returns true if the attempt timed out during it. */
    boolean end() {
        boolean pastTimeout = isPastTimeout();
        state = State.NONE;
        return pastTimeout;
    }

    /** Removes and returns the deferred result, null if there is none. */
    Result takeDeferred() {
        Result result = deferred;
        deferred = null;
        return result;
    }
}
