package ringspindle.proxy;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;

/**
 * The connection of one attempt, from when it is acquired until it goes back to the pool or is closed. Guarded by the lock of
 * the request, but for the note that the request is written, which Jetty gives from threads of its own.
 */
final class AttemptConnection {
    /** An idle connection that the engine has forgotten is reset within this. */
    private static final int FORGOTTEN_RESET_MS = 150;

    private final EngineConnectionPool pool;
    /** Null before it is acquired and after it is given up. */
    private PooledConnection held;

    private volatile boolean requestWritten;

    AttemptConnection(EngineConnectionPool pool) {
        this.pool = pool;
    }

    /** The attempt goes out over that connection. */
    void attach(PooledConnection acquired, Request engineRequest) {
        held = acquired;
        engineRequest.onRequestSuccess(written -> requestWritten = true);
    }

    /** True once the engine was sent the whole request. */
    boolean isRequestWritten() {
        return requestWritten;
    }

    /**
     * The engine has answered: the connection may carry another request. Not if this one is not written whole, since the
     * engine may still wait for the rest of it; such a connection stays here until the attempt ends and closes it.
     */
    void release(HttpFields answerHead) {
        if (requestWritten) {
            pool.release(held, answerHead);
            held = null;
        }
    }

    /** Closes the connection; nothing if there is none. */
    void discard() {
        if (held != null) {
            PooledConnection discarded = held;
            held = null;
            pool.discard(discarded);
        }
    }

    /** A reused connection that was reset at once had been closed by the engine before: that is no fault of the engine. */
    void recordIfStale(AttemptTiming timing, long nowMs) {
        if (held != null && held.isReused() && timing.wasSentWithin(FORGOTTEN_RESET_MS, nowMs)) {
            timing.onStaleConnection();
            pool.recordStale(held);
        }
    }
}
