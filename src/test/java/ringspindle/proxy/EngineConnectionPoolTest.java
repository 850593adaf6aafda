package ringspindle.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.RetainableByteBuffer;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ringspindle.loadbalancing.ConnectionLimit;
import ringspindle.protocol.NodeId;
import ringspindle.time.MonotonicClock;

/** Connections to engines: what is given up is never sent, and what saw anything unexpected carries nothing more. */
@Timeout(60)
class EngineConnectionPoolTest {
    private static final HttpFields KEPT = HttpFields.build().put("Keep-Alive", "timeout=30");

    private QueuedThreadPool pool;
    private ScheduledExecutorScheduler scheduler;
    private HttpClient client;
    private EngineConnectionPool connections;
    private ScriptedEngine engine;
    private final BlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();
    /** By how much the clock of the pool was set on. */
    private volatile long laterMs;

    @BeforeEach
    void open() throws Exception {
        pool = new QueuedThreadPool(8, 2);
        pool.setDaemon(true);
        pool.setStopTimeout(0);
        pool.start();
        scheduler = new ScheduledExecutorScheduler("ticks", true, 1);
        scheduler.start();
        client = EngineHttpClient.start(pool, scheduler);
        connections =
                new EngineConnectionPool(client, () -> MonotonicClock.system().nowMs() + laterMs);
        engine = new ScriptedEngine((seen, out, socket) -> {
            sockets.add(socket);
            ScriptedEngine.respondWith(200, "hello", "").run(seen, out, socket);
        });
    }

    @AfterEach
    void close() throws Exception {
        client.stop();
        engine.close();
        pool.stop();
        scheduler.stop();
    }

    private PooledConnection acquire() {
        return acquire(new ConnectionLimit(1, true), true);
    }

    private PooledConnection acquire(ConnectionLimit limit, boolean repeatable) {
        CompletableFuture<PooledConnection> taken = new CompletableFuture<>();
        NodeId address = NodeId.of(engine.address());
        connections.acquire("i-1", address, limit, repeatable, new EngineConnectionPool.AcquireListener() {
            @Override
            public void onAcquired(PooledConnection connection) {
                taken.complete(connection);
            }

            @Override
            public void onAcquireFailed(EngineConnectionPool.Failure failure) {
                taken.completeExceptionally(new AssertionError(failure.toString()));
            }
        });
        return taken.join();
    }

    private Request request() {
        return client.newRequest("http://" + engine.address() + "/x")
                .method("POST")
                .headers(h -> h.put("Attempt-Id", "t1"))
                .body(new BytesRequestContent(new byte[100_000]));
    }

    private static CompletableFuture<Result> send(PooledConnection connection, Request request) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        connection.connection().send(request, result::complete);
        return result;
    }

    /** Jetty's receiver may touch a buffer after it has given it back, so no other connection may ever get it. */
    @Test
    void noBufferIsSharedBetweenConnections() {
        ByteBufferPool buffers = client.getByteBufferPool();
        RetainableByteBuffer first = buffers.acquire(4096, false);
        byte[] array = first.getByteBuffer().array();
        first.release();
        assertNotSame(array, buffers.acquire(4096, false).getByteBuffer().array());
    }

    @Test
    void connectionIsKeptAfterAWholeAnswer() {
        PooledConnection first = acquire();
        assertTrue(send(first, request()).join().isSucceeded());
        connections.release(first, KEPT);
        assertSame(first, acquire());
    }

    /** The attempt may be given up between the choice of its connection and the send. */
    @Test
    void whatWasGivenUpBeforeTheSendIsNeverSent() {
        PooledConnection connection = acquire();
        Request request = request();
        connections.discard(connection);
        request.abort(new IllegalStateException("given up"));
        assertTrue(send(connection, request).join().isFailed());
        assertTrue(send(acquire(), request()).join().isSucceeded());
        assertEquals(1, engine.requests.size());
    }

    /** Half an answer that nobody asked for, on a connection at rest. */
    @Test
    void connectionThatSpeaksAtRestCarriesNothingMore() throws Exception {
        PooledConnection first = acquire();
        assertTrue(send(first, request()).join().isSucceeded());
        connections.release(first, KEPT);
        long had = first.connection().getBytesIn();
        ScriptedEngine.writeText(sockets.take().getOutputStream(), "HTTP/1.1 200 OK\r\nAttempt-Id: t");
        while (first.connection().getBytesIn() == had) {
            Thread.onSpinWait();
        }
        assertNotSame(first, acquire());
        assertTrue(first.connection().isClosed());
    }

    /** One connection may be open: an unused one given back is counted once, and used again if it is new. */
    @Test
    void unusedConnectionIsCountedOnce() {
        PooledConnection fresh = acquire();
        connections.releaseUnused(fresh);
        PooledConnection again = acquire();
        assertSame(fresh, again);
        connections.releaseUnused(again);
        assertTrue(again.connection().isClosed(), "how long it rested is not known any more");
        PooledConnection other = acquire();
        CompletableFuture<Boolean> full = new CompletableFuture<>();
        connections.acquire(
                "i-1",
                NodeId.of(engine.address()),
                new ConnectionLimit(1, true),
                true,
                new EngineConnectionPool.AcquireListener() {
                    @Override
                    public void onAcquired(PooledConnection connection) {
                        full.complete(false);
                    }

                    @Override
                    public void onAcquireFailed(EngineConnectionPool.Failure failure) {
                        full.complete(failure == EngineConnectionPool.Failure.LIMIT_REACHED);
                    }
                });
        assertTrue(full.join(), "more connections than allowed");
        assertFalse(other.connection().isClosed());
    }

    @Test
    void silenceAloneEndsNoRequest() {
        assertEquals(0, client.getIdleTimeout());
    }

    /** Where nodes outnumber the connections that an engine accepts, an idle one would be missing elsewhere. */
    @Test
    void nothingStaysIdleWhereConnectionsAreScarce() {
        ConnectionLimit scarce = new ConnectionLimit(1, false);
        PooledConnection first = acquire(scarce, true);
        connections.release(first, KEPT);
        assertTrue(first.connection().isClosed());
        assertNotSame(first, acquire(scarce, true));
    }

    /** What may run only once goes over a new connection also where this node may hold only one. */
    @Test
    void anOldConnectionMakesRoomForWhatMayRunOnlyOnce() {
        ConnectionLimit single = new ConnectionLimit(1, true);
        PooledConnection first = acquire(single, false);
        connections.release(first, KEPT);
        laterMs = 2000;
        PooledConnection second = acquire(single, false);
        assertNotSame(first, second);
        assertTrue(first.connection().isClosed());
        connections.release(second, KEPT);
        assertSame(second, acquire(single, false), "a fresh one is used again");
    }
}
