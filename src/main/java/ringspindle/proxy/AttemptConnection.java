package ringspindle.proxy;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;

/**
 * Owns the connection of one attempt from its acquisition until it returns to the pool or is closed. Guarded by the
 * lock of the request, except for {@link #requestWritten}, which Jetty sets on its own threads.
 */
final class AttemptConnection {
    /** A connection that the engine had dropped while idle is reset within this time after a send. */
    private static final int STALE_RESET_MS = 150;

    private final EngineConnectionPool pool;
    /** Null before the connection is acquired and after it is released or closed. */
    private PooledConnection connection;

    private volatile boolean requestWritten;

    AttemptConnection(EngineConnectionPool pool) {
        this.pool = pool;
    }

    /** Takes ownership of the connection over which the attempt is sent. */
    void attach(PooledConnection acquired, Request engineRequest) {
        connection = acquired;
        engineRequest.onRequestSuccess(written -> requestWritten = true);
    }

    /** Returns true once the whole request was written to the engine. */
    boolean isRequestWritten() {
        return requestWritten;
    }

    /**
     * Returns the connection to the pool after a complete response. A connection whose request is not fully written
     * stays with the attempt and is closed when it ends, because the engine may still expect the rest of the request.
     */
    void release(HttpFields responseHeaders) {
        if (requestWritten) {
            pool.release(connection, responseHeaders);
            connection = null;
        }
    }

    /** Closes the connection, if there is one. */
    void discard() {
        if (connection != null) {
            PooledConnection discarded = connection;
            connection = null;
            pool.discard(discarded);
        }
    }

    /**
     * Records a reused connection that was reset right after the send as stale: the engine had closed it earlier, so
     * this does not count as a failure of the engine.
     */
    void recordIfStale(AttemptTiming timing, long nowMs) {
        if (connection != null && connection.isReused() && timing.wasSentWithin(STALE_RESET_MS, nowMs)) {
            timing.onStaleConnection();
            pool.recordStale(connection);
        }
    }
}
