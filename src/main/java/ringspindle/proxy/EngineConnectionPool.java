package ringspindle.proxy;

import java.net.InetSocketAddress;
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
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import ringspindle.protocol.NodeId;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.LifeCycles;

/** Open connections to engines, owned here one by one: no pool, queue or resending of the client's own. */
final class EngineConnectionPool {
    private static final int IDLE_MAX = 24;
    /** Ours: how long an idle wire is trusted where the engine states nothing. */
    private static final int KEEP_MS = 700;
    /** Ours: idle for less, a wire counts as sure enough for what may run only once. */
    private static final int SURE_MS = 1500;

    private static final int TRUST_LEAST_MS = 50;
    /** Small, as one is made for each read; events are far smaller. */
    private static final int RESPONSE_BUFFER_BYTES = 4096;

    /** More than a client may send ({@code ProxyHandler.REQUEST_HEADERS_MAX}), as a few fields are added. */
    private static final int REQUEST_HEADERS_MAX = ProxyHandler.REQUEST_HEADERS_MAX + 4096;

    /** A connection to one engine. */
    static final class Wire {
        final EngineTransport.EngineConnection connection;
        final String engine;
        long idleSinceMs;
        long keepMs = KEEP_MS;
        /** How long it was idle before it was taken this time, below 0 if it is new. */
        long idledMs = -1;

        Wire(EngineTransport.EngineConnection connection, String engine) {
            this.connection = connection;
            this.engine = engine;
        }
    }

    interface Ready {
        void up(Wire w);

        void failed(boolean full);
    }

    private static final class Pool {
        final ArrayDeque<Wire> idle = new ArrayDeque<>();
        Destination destination;
        Origin origin;
        int open;
        /** What resets have taught of how long idle ones stay good. */
        long trustMs = Long.MAX_VALUE;
    }

    private final HttpClient client;
    private final MonotonicClock clock;
    private final Map<String, Pool> pools = new ConcurrentHashMap<>();

    EngineConnectionPool(QueuedThreadPool pool, org.eclipse.jetty.util.thread.Scheduler beats, MonotonicClock clock)
            throws Exception {
        this.clock = clock;
        ClientConnector connector = new EngineEndPoint.Connector();
        client = new HttpClient(new EngineTransport(connector));
        client.setExecutor(pool);
        client.setScheduler(beats);
        // No pool: after its answer has ended, Jetty's receiver may clear the buffer that it held, at a moment when
        // another
        // connection has got that buffer from the pool and filled it; events were lost that way.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setResponseBufferSize(RESPONSE_BUFFER_BYTES);
        client.setConnectTimeout(600);
        // silence ends no request: the action's deadline does, and tidy() closes idle connections
        client.setIdleTimeout(0);
        client.setUserAgentField(null);
        client.setFollowRedirects(false);
        client.setDefaultRequestContentType(null);
        client.setMaxResponseHeadersSize(16384);
        client.setMaxRequestHeadersSize(REQUEST_HEADERS_MAX);
        // what an engine sets for one client is never sent with the request of another
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setSocketAddressResolver(
                (host, port, context, promise) -> promise.succeeded(List.of(new InetSocketAddress(host, port))));
        client.start();
        client.getProtocolHandlers().clear();
        client.getProtocolHandlers().put(new EngineTransport.InterimAnswers());
        client.getContentDecoderFactories().clear();
    }

    HttpClient client() {
        return client;
    }

    void close() {
        LifeCycles.stopQuietly(client);
    }

    /**
     * Takes the idle wire used last or opens one. What may run only once goes over no idle wire of doubtful age: an
     * engine may have forgotten it, and after a reset nobody knows whether the request ran.
     */
    void take(String engine, NodeId address, int most, boolean repeatable, Ready ready) {
        Pool p = pools.computeIfAbsent(engine, k -> new Pool());
        Wire w = null;
        Destination destination = null;
        synchronized (p) {
            long nowMs = clock.nowMs();
            while (w == null && !p.idle.isEmpty()) {
                long idledMs = nowMs - p.idle.peekLast().idleSinceMs;
                if (!repeatable && idledMs > Math.min(SURE_MS, p.trustMs) && p.open < most) {
                    // the others are idle for longer still
                    break;
                }
                Wire x = p.idle.pollLast();
                x.idledMs = idledMs;
                if (x.connection.unusable() || x.connection.disturbed() || idledMs > Math.min(x.keepMs, p.trustMs)) {
                    p.open--;
                    x.connection.close();
                } else {
                    w = x;
                }
            }
            if (w == null) {
                if (p.open < most) {
                    p.open++;
                    if (p.destination == null) {
                        p.origin = new Origin(
                                "http",
                                address.ip(),
                                address.port(),
                                engine,
                                new Origin.Protocol(List.of("http/1.1"), false));
                        p.destination = client.resolveDestination(p.origin);
                    }
                    destination = p.destination;
                }
            }
        }
        if (w != null) {
            ready.up(w);
        } else if (destination == null) {
            ready.failed(true);
        } else {
            destination.newConnection(
                    Promise.from(c -> ready.up(new Wire((EngineTransport.EngineConnection) c, engine)), x -> {
                        synchronized (p) {
                            p.open--;
                        }
                        ready.failed(false);
                    }));
        }
    }

    /** A wire that had been idle was reset without a word: the engine forgets idle ones sooner than thought. */
    void forgotten(Wire w) {
        Pool p = pools.get(w.engine);
        if (p != null && w.idledMs >= 0) {
            synchronized (p) {
                p.trustMs = Math.max(TRUST_LEAST_MS, Math.min(p.trustMs, w.idledMs * 2 / 3));
            }
        }
    }

    /** Gives a wire back after a whole answer; keepS is what the engine stated, below 0 for nothing. */
    void give(Wire w, long keepS) {
        Pool p = pools.get(w.engine);
        if (p == null || w.connection.unusable()) {
            drop(w);
            return;
        }
        synchronized (p) {
            if (p.idle.size() < IDLE_MAX) {
                w.idleSinceMs = clock.nowMs();
                w.connection.rest();
                w.keepMs = keepS >= 0 ? Math.max(0, keepS * 1000 - 400) : KEEP_MS;
                p.idle.addLast(w);
                return;
            }
        }
        drop(w);
    }

    /** Gives back a wire over which nothing was sent since it was taken. */
    void giveUnused(Wire w) {
        if (w.idledMs < 0) {
            give(w, -1);
        } else {
            // its age is not known here any more
            drop(w);
        }
    }

    /** Closes a wire. */
    void drop(Wire w) {
        Pool p = pools.get(w.engine);
        if (p != null) {
            synchronized (p) {
                p.open--;
            }
        }
        w.connection.close();
    }

    /** Closes what is idle too long, and all of engines that are no more. */
    void tidy(Set<String> known) {
        long nowMs = clock.nowMs();
        for (Iterator<Map.Entry<String, Pool>> it = pools.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<String, Pool> e = it.next();
            Pool p = e.getValue();
            List<Wire> close = new ArrayList<>();
            boolean dead = !known.contains(e.getKey());
            synchronized (p) {
                p.idle.removeIf(w -> {
                    boolean stale = dead || w.connection.isClosed() || nowMs - w.idleSinceMs > w.keepMs;
                    if (stale) {
                        p.open--;
                        close.add(w);
                    }
                    return stale;
                });
                if (dead && p.open <= 0) {
                    it.remove();
                    if (p.destination != null) {
                        client.removeDestination(p.destination);
                    }
                }
            }
            close.forEach(w -> w.connection.close());
        }
    }
}
