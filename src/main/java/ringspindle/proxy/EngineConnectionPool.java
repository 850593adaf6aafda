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
 * Open connections to engines, owned here one by one: the HTTP client has no pool or queue of its own and sends nothing
 * again. Thread safe; each engine's connections are guarded by their own lock, and nothing is called under it.
 */
final class EngineConnectionPool {
    private static final int IDLE_MAX = 24;
    /** Default: how long an idle connection is trusted where the engine states nothing. */
    private static final int KEEP_ALIVE_MS = 700;
    /** Default: idle for less, a connection is sure enough for what may run only once. */
    private static final int SURE_MS = 1500;
    /** Taken off what an engine states, for the way there. */
    private static final int KEEP_ALIVE_MARGIN_MS = 400;

    private static final int TRUST_LEAST_MS = 50;

    /** Why no connection could be had. */
    enum Failure {
        /** As many as the engine allows are open, and none is idle. */
        LIMIT_REACHED,
        /** The engine could not be reached. */
        CONNECT_FAILED
    }

    /** Told of the outcome of {@link #acquire}, once, in this thread or another. */
    interface AcquireListener {
        void onAcquired(PooledConnection connection);

        void onAcquireFailed(Failure failure);
    }

    /** The connections to one engine; guarded by itself. */
    private static final class EngineConnections {
        final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
        Destination destination;
        int open;
        /** False where none may stay open that is not in use. */
        boolean keepsIdle = true;
        /** For how long resets have taught that idle ones stay good. */
        long trustMs = Long.MAX_VALUE;

        /** True if the engine, or whatever stands in between, may have dropped it by now. */
        boolean isDoubtful(PooledConnection connection, long idledMs) {
            return connection.connection().unusable()
                    || connection.connection().disturbed()
                    || idledMs > Math.min(connection.keepAliveMs, trustMs);
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
     * Takes the idle connection used last or opens one. What may run only once goes over no idle connection of doubtful
     * age: an engine may have forgotten it, and after a reset nobody knows whether the request ran.
     *
     * @param limit how many connections this node may have open to the engine
     */
    void acquire(
            String instanceId, NodeId address, ConnectionLimit limit, boolean repeatable, AcquireListener listener) {
        EngineConnections engine = engines.computeIfAbsent(instanceId, id -> new EngineConnections());
        List<PooledConnection> doubtful = new ArrayList<>(0);
        PooledConnection reused;
        Destination destination = null;
        synchronized (engine) {
            engine.keepsIdle = limit.keepsIdle();
            reused = takeIdle(engine, repeatable, limit.max(), doubtful);
            if (reused == null && engine.open < limit.max()) {
                engine.open++;
                destination = destination(engine, instanceId, address);
            }
        }
        doubtful.forEach(connection -> connection.connection().close());
        if (reused != null) {
            listener.onAcquired(reused);
        } else if (destination == null) {
            listener.onAcquireFailed(Failure.LIMIT_REACHED);
        } else {
            open(engine, destination, instanceId, listener);
        }
    }

    private PooledConnection takeIdle(
            EngineConnections engine, boolean repeatable, int openMax, List<PooledConnection> doubtful) {
        long nowMs = clock.nowMs();
        while (!engine.idle.isEmpty()) {
            long idledMs = nowMs - engine.idle.peekLast().idleSinceMs;
            if (!repeatable && idledMs > Math.min(SURE_MS, engine.trustMs)) {
                // the others are idle for longer still
                if (engine.open >= openMax) {
                    doubtful.add(engine.idle.pollFirst());
                    engine.open--;
                }
                return null;
            }
            PooledConnection connection = engine.idle.pollLast();
            connection.idledMs = idledMs;
            if (!engine.isDoubtful(connection, idledMs)) {
                return connection;
            }
            engine.open--;
            doubtful.add(connection);
        }
        return null;
    }

    private Destination destination(EngineConnections engine, String instanceId, NodeId address) {
        if (engine.destination == null) {
            // the instance id as a tag: an address may be given to another engine
            engine.destination = client.resolveDestination(new Origin(
                    "http", address.ip(), address.port(), instanceId, new Origin.Protocol(List.of("http/1.1"), false)));
        }
        return engine.destination;
    }

    private static void open(
            EngineConnections engine, Destination destination, String instanceId, AcquireListener listener) {
        destination.newConnection(Promise.from(
                connection -> listener.onAcquired(
                        new PooledConnection((EngineTransport.EngineConnection) connection, instanceId, KEEP_ALIVE_MS)),
                failure -> {
                    synchronized (engine) {
                        engine.open--;
                    }
                    listener.onAcquireFailed(Failure.CONNECT_FAILED);
                }));
    }

    /** Notes that a reused connection was reset without a word: the engine forgets idle ones sooner than thought. */
    void recordStale(PooledConnection connection) {
        EngineConnections engine = engines.get(connection.instanceId());
        if (engine != null && connection.isReused()) {
            synchronized (engine) {
                engine.trustMs = Math.max(TRUST_LEAST_MS, Math.min(engine.trustMs, connection.idledMs * 2 / 3));
            }
        }
    }

    /** Gives a connection back after a whole answer, whose head says whether and for how long it is kept. */
    void release(PooledConnection connection, HttpFields answerHead) {
        if (answerHead.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString())) {
            discard(connection);
        } else {
            keep(connection, KeepAlive.statedSeconds(answerHead));
        }
    }

    /** Gives back a connection over which nothing was sent since it was acquired. */
    void releaseUnused(PooledConnection connection) {
        if (connection.isReused()) {
            // its age is not known any more
            discard(connection);
        } else {
            keep(connection, KeepAlive.NOT_STATED);
        }
    }

    private void keep(PooledConnection connection, long keepAliveS) {
        EngineConnections engine = engines.get(connection.instanceId());
        if (engine == null || connection.connection().unusable()) {
            discard(connection);
            return;
        }
        synchronized (engine) {
            if (engine.keepsIdle && engine.idle.size() < IDLE_MAX) {
                connection.idleSinceMs = clock.nowMs();
                connection.connection().rest();
                connection.keepAliveMs = keepAliveS == KeepAlive.NOT_STATED
                        ? KEEP_ALIVE_MS
                        : Math.max(0, keepAliveS * 1000 - KEEP_ALIVE_MARGIN_MS);
                engine.idle.addLast(connection);
                return;
            }
        }
        discard(connection);
    }

    /** Closes a connection that was acquired. */
    void discard(PooledConnection connection) {
        EngineConnections engine = engines.get(connection.instanceId());
        if (engine != null) {
            synchronized (engine) {
                engine.open--;
            }
        }
        connection.connection().close();
    }

    /** Closes what is idle for too long, and all idle ones of engines that are not among those. */
    void closeIdle(Set<String> knownEngines) {
        for (Iterator<Map.Entry<String, EngineConnections>> entries =
                        engines.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<String, EngineConnections> entry = entries.next();
            EngineConnections engine = entry.getValue();
            boolean gone = !knownEngines.contains(entry.getKey());
            List<PooledConnection> stale;
            synchronized (engine) {
                stale = takeStale(engine, gone);
                if (gone && engine.open <= 0) {
                    entries.remove();
                    if (engine.destination != null) {
                        client.removeDestination(engine.destination);
                    }
                }
            }
            stale.forEach(connection -> connection.connection().close());
        }
    }

    private List<PooledConnection> takeStale(EngineConnections engine, boolean gone) {
        long nowMs = clock.nowMs();
        List<PooledConnection> stale = new ArrayList<>(0);
        engine.idle.removeIf(connection -> {
            boolean isStale = gone
                    || connection.connection().isClosed()
                    || nowMs - connection.idleSinceMs > connection.keepAliveMs;
            if (isStale) {
                engine.open--;
                stale.add(connection);
            }
            return isStale;
        });
        return stale;
    }
}
