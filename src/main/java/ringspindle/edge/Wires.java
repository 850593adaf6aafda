package ringspindle.edge;

import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import org.eclipse.jetty.client.*;
import org.eclipse.jetty.client.transport.*;
import org.eclipse.jetty.io.*;
import org.eclipse.jetty.util.*;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.*;
import ringspindle.wire.*;

/** Open connections to engines, owned here one by one: no pool, queue or resending of the client's own. */
final class Wires {
    private static final int IDLE_MAX = 24;
    /** Ours: how long an idle wire is trusted where the engine states nothing. */
    private static final int KEEP_MS = 700;

    /** A connection to one engine. */
    static final class Wire {
        final org.eclipse.jetty.client.Connection connection;
        final String engine;
        long idleSinceMs;
        long keepMs = KEEP_MS;
        boolean fresh = true;

        Wire(org.eclipse.jetty.client.Connection connection, String engine) {
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
    }

    private final HttpClient client;
    private final Steady clock;
    private final Map<String, Pool> pools = new ConcurrentHashMap<>();

    Wires(QueuedThreadPool pool, org.eclipse.jetty.util.thread.Scheduler beats, Steady clock) throws Exception {
        this.clock = clock;
        ClientConnector connector = new PlainConnector();
        client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(pool);
        client.setScheduler(beats);
        client.setByteBufferPool(new ArrayByteBufferPool(0, 4096, 65536, 256, 2 << 20, 4 << 20));
        client.setConnectTimeout(600);
        client.setIdleTimeout(60_000);
        client.setUserAgentField(null);
        client.setFollowRedirects(false);
        client.setDefaultRequestContentType(null);
        client.setMaxResponseHeadersSize(16384);
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setSocketAddressResolver((host, port, context, promise) ->
                promise.succeeded(List.of(new InetSocketAddress(host, port))));
        client.start();
        client.getProtocolHandlers().clear();
        client.getContentDecoderFactories().clear();
    }

    HttpClient client() {
        return client;
    }

    void close() {
        LifeCycleQuietly.stop(client);
    }

    /** Takes an idle wire or opens one. */
    void take(String engine, NodeId address, int most, Ready ready) {
        Pool p = pools.computeIfAbsent(engine, k -> new Pool());
        Wire w = null;
        Destination destination = null;
        synchronized (p) {
            long nowMs = clock.nowMs();
            while (w == null && !p.idle.isEmpty()) {
                Wire x = p.idle.pollLast();
                if (x.connection.isClosed() || nowMs - x.idleSinceMs > x.keepMs) {
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
                        p.origin = new Origin("http", address.ip(), address.port(), engine,
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
            destination.newConnection(Promise.from(c -> ready.up(new Wire(c, engine)), x -> {
                synchronized (p) {
                    p.open--;
                }
                ready.failed(false);
            }));
        }
    }

    /** Gives a wire back after a whole answer; keepS is what the engine stated, below 0 for nothing. */
    void give(Wire w, long keepS) {
        Pool p = pools.get(w.engine);
        if (p == null || w.connection.isClosed()) {
            drop(w);
            return;
        }
        synchronized (p) {
            if (p.idle.size() < IDLE_MAX) {
                w.idleSinceMs = clock.nowMs();
                w.keepMs = keepS >= 0 ? Math.max(0, keepS * 1000 - 400) : KEEP_MS;
                w.fresh = false;
                p.idle.addLast(w);
                return;
            }
        }
        drop(w);
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
        for (Iterator<Map.Entry<String, Pool>> it = pools.entrySet().iterator(); it.hasNext();) {
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
