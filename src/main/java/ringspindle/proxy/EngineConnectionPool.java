package ringspindle.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.util.Promise;
import ringspindle.loadbalancing.ConnectionLimit;
import ringspindle.protocol.NodeId;
import ringspindle.time.MonotonicClock;

/**
 * Pool of connections to engines. It replaces the pool and the request queue of the HTTP client, so that the client
 * never repeats a request by itself. Thread safe; each engine's connections have a lock of their own, and no callback
 * is called while it is held.
 */
final class EngineConnectionPool {
    private static final int MAX_IDLE_PER_ENGINE = 24;
    /** How long an idle connection may be reused if the engine announces no keep-alive time. */
    private static final int DEFAULT_KEEP_ALIVE_MS = 700;
    /** A non-repeatable request only reuses a connection that has been idle for at most this time. */
    private static final int NON_REPEATABLE_MAX_IDLE_MS = 1500;
    /** Subtracted from the announced keep-alive time to allow for the network latency. */
    private static final int KEEP_ALIVE_MARGIN_MS = 400;

    private static final int MIN_TRUSTED_IDLE_MS = 50;

    /** Why a connection could not be acquired. */
    enum Failure {
        /** The connection limit is reached, and no connection is idle. */
        LIMIT_REACHED,
        /** The engine could not be reached. */
        CONNECT_FAILED
    }

    /** Receives the outcome of {@link #acquire}: called exactly once, on the calling thread or another. */
    interface AcquireListener {
        void onAcquired(PooledConnection connection);

        void onAcquireFailed(Failure failure);
    }

    /** The connections to one engine; guarded by its own monitor. */
    private static final class EngineConnections {
        final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
        Destination destination;
        int open;
        /** False if unused connections must be closed. */
        boolean keepsIdle = true;
        /** How long an idle connection is assumed to stay open; lowered after resets of reused connections. */
        long trustedIdleMs = Long.MAX_VALUE;

        /** Returns true if the engine or an intermediary may have closed the connection already. */
        boolean mayBeStale(PooledConnection connection, long idleMs) {
            return connection.connection().isUnusable()
                    || connection.connection().receivedWhileIdle()
                    || idleMs > Math.min(connection.keepAliveMs, trustedIdleMs);
        }
    }

    private final HttpClient client;
    private final MonotonicClock clock;
    private final Map<String, EngineConnections> engines = new ConcurrentHashMap<>();

    EngineConnectionPool(HttpClient client, MonotonicClock clock) {
        this.client = client;
        this.clock = clock;
    }

    /**
     * Acquires the most recently used idle connection or opens a new one. A non-repeatable request is never sent over
     * a connection that has been idle for long: the engine may have closed it, and a reset leaves open whether the
     * request was executed.
     *
     * @param limit how many connections this node may have open to the engine
     * @param repeatable whether the request may be executed more than once
     */
    void acquire(
            String instanceId, NodeId address, ConnectionLimit limit, boolean repeatable, AcquireListener listener) {
        EngineConnections engine = engines.computeIfAbsent(instanceId, id -> new EngineConnections());
        List<PooledConnection> stale = new ArrayList<>(0);
        PooledConnection reused;
        Destination destination = null;
        synchronized (engine) {
            engine.keepsIdle = limit.keepsIdle();
            reused = takeIdle(engine, repeatable, limit.max(), stale);
            if (reused == null && engine.open < limit.max()) {
                engine.open++;
                destination = destination(engine, instanceId, address);
            }
        }
        stale.forEach(connection -> connection.connection().close());
        if (reused != null) {
            listener.onAcquired(reused);
        } else if (destination == null) {
            listener.onAcquireFailed(Failure.LIMIT_REACHED);
        } else {
            open(engine, destination, instanceId, listener);
        }
    }

    private PooledConnection takeIdle(
            EngineConnections engine, boolean repeatable, int openMax, List<PooledConnection> stale) {
        long nowMs = clock.nowMs();
        while (!engine.idle.isEmpty()) {
            long idleMs = nowMs - engine.idle.peekLast().idleSinceMs;
            if (!repeatable && idleMs > Math.min(NON_REPEATABLE_MAX_IDLE_MS, engine.trustedIdleMs)) {
                // All other connections have been idle for longer.
                if (engine.open >= openMax) {
                    stale.add(engine.idle.pollFirst());
                    engine.open--;
                }
                return null;
            }
            PooledConnection connection = engine.idle.pollLast();
            connection.idleMs = idleMs;
            if (!engine.mayBeStale(connection, idleMs)) {
                return connection;
            }
            engine.open--;
            stale.add(connection);
        }
        return null;
    }

    private Destination destination(EngineConnections engine, String instanceId, NodeId address) {
        if (engine.destination == null) {
            // The instance id is the tag because an address may be reassigned to another engine.
            engine.destination = client.resolveDestination(new Origin(
                    "http", address.ip(), address.port(), instanceId, new Origin.Protocol(List.of("http/1.1"), false)));
        }
        return engine.destination;
    }

    private static void open(
            EngineConnections engine, Destination destination, String instanceId, AcquireListener listener) {
        destination.newConnection(Promise.from(
                connection -> listener.onAcquired(new PooledConnection(
                        (EngineTransport.EngineConnection) connection, instanceId, DEFAULT_KEEP_ALIVE_MS)),
                failure -> {
                    synchronized (engine) {
                        engine.open--;
                    }
                    listener.onAcquireFailed(Failure.CONNECT_FAILED);
                }));
    }

    /**
     * Records that a reused connection was reset before any response: the engine closes idle connections earlier than
     * assumed, so they are trusted for two thirds of the time that this one was idle.
     */
    void recordStale(PooledConnection connection) {
        EngineConnections engine = engines.get(connection.instanceId());
        if (engine != null && connection.isReused()) {
            synchronized (engine) {
                engine.trustedIdleMs =
                        Math.max(MIN_TRUSTED_IDLE_MS, Math.min(engine.trustedIdleMs, connection.idleMs * 2 / 3));
            }
        }
    }

    /** Releases a connection after a complete response, whose headers tell whether and for how long it stays open. */
    void release(PooledConnection connection, HttpFields responseHeaders) {
        if (responseHeaders.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString())) {
            discard(connection);
        } else {
            keep(connection, KeepAlive.timeoutSeconds(responseHeaders));
        }
    }

    /** Releases a connection over which nothing was sent since it was acquired. */
    void releaseUnused(PooledConnection connection) {
        if (connection.isReused()) {
            // How long it was idle in total is no longer known.
            discard(connection);
        } else {
            keep(connection, KeepAlive.NOT_ANNOUNCED);
        }
    }

    private void keep(PooledConnection connection, long keepAliveS) {
        EngineConnections engine = engines.get(connection.instanceId());
        if (engine == null || connection.connection().isUnusable()) {
            discard(connection);
            return;
        }
        synchronized (engine) {
            if (engine.keepsIdle && engine.idle.size() < MAX_IDLE_PER_ENGINE) {
                connection.idleSinceMs = clock.nowMs();
                connection.connection().markIdle();
                connection.keepAliveMs = keepAliveS == KeepAlive.NOT_ANNOUNCED
                        ? DEFAULT_KEEP_ALIVE_MS
                        : Math.max(0, keepAliveS * 1000 - KEEP_ALIVE_MARGIN_MS);
                engine.idle.addLast(connection);
                return;
            }
        }
        discard(connection);
    }

    /** Closes an acquired connection. */
    void discard(PooledConnection connection) {
        EngineConnections engine = engines.get(connection.instanceId());
        if (engine != null) {
            synchronized (engine) {
                engine.open--;
            }
        }
        connection.connection().close();
    }

    /** Closes connections that are idle for too long, and all idle ones to engines not in {@code knownEngines}. */
    void closeIdle(Set<String> knownEngines) {
        for (Iterator<Map.Entry<String, EngineConnections>> entries =
                        engines.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<String, EngineConnections> entry = entries.next();
            EngineConnections engine = entry.getValue();
            boolean isRemoved = !knownEngines.contains(entry.getKey());
            List<PooledConnection> expired;
            synchronized (engine) {
                expired = removeExpired(engine, isRemoved);
                if (isRemoved && engine.open <= 0) {
                    entries.remove();
                    if (engine.destination != null) {
                        client.removeDestination(engine.destination);
                    }
                }
            }
            expired.forEach(connection -> connection.connection().close());
        }
    }

    private List<PooledConnection> removeExpired(EngineConnections engine, boolean isRemoved) {
        long nowMs = clock.nowMs();
        List<PooledConnection> expired = new ArrayList<>(0);
        engine.idle.removeIf(connection -> {
            boolean isExpired = isRemoved
                    || connection.connection().isClosed()
                    || nowMs - connection.idleSinceMs > connection.keepAliveMs;
            if (isExpired) {
                engine.open--;
                expired.add(connection);
            }
            return isExpired;
        });
        return expired;
    }
}
