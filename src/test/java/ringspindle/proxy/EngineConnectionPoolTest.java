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

/** Abandoned requests are never sent, and connections that received unexpected bytes are not reused. */
@Timeout(60)
class EngineConnectionPoolTest {
    private static final HttpFields KEEP_ALIVE = HttpFields.build().put("Keep-Alive", "timeout=30");

    private QueuedThreadPool threadPool;
    private ScheduledExecutorScheduler scheduler;
    private HttpClient client;
    private EngineConnectionPool connections;
    private ScriptedEngine engine;
    private final BlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();
    /** How far the pool's clock is advanced. */
    private volatile long clockOffsetMs;

    @BeforeEach
    void setUp() throws Exception {
        threadPool = new QueuedThreadPool(8, 2);
        threadPool.setDaemon(true);
        threadPool.setStopTimeout(0);
        threadPool.start();
        scheduler = new ScheduledExecutorScheduler("ticks", true, 1);
        scheduler.start();
        client = EngineHttpClient.start(threadPool, scheduler);
        connections =
                new EngineConnectionPool(client, () -> MonotonicClock.system().nowMs() + clockOffsetMs);
        engine = new ScriptedEngine((seen, out, socket) -> {
            sockets.add(socket);
            ScriptedEngine.respondWith(200, "hello", "").run(seen, out, socket);
        });
    }

    @AfterEach
    void tearDown() throws Exception {
        client.stop();
        engine.close();
        threadPool.stop();
        scheduler.stop();
    }

    private PooledConnection acquire() {
        return acquire(new ConnectionLimit(1, true), true);
    }

    private PooledConnection acquire(ConnectionLimit limit, boolean repeatable) {
        CompletableFuture<PooledConnection> acquired = new CompletableFuture<>();
        NodeId address = NodeId.of(engine.address());
        connections.acquire("i-1", address, limit, repeatable, new EngineConnectionPool.AcquireListener() {
            @Override
            public void onAcquired(PooledConnection connection) {
                acquired.complete(connection);
            }

            @Override
            public void onAcquireFailed(EngineConnectionPool.Failure failure) {
                acquired.completeExceptionally(new AssertionError(failure.toString()));
            }
        });
        return acquired.join();
    }

    private Request request() {
        return client.newRequest("http://" + engine.address() + "/x")
                .method("POST")
                .headers(headers -> headers.put("Attempt-Id", "t1"))
                .body(new BytesRequestContent(new byte[100_000]));
    }

    private static CompletableFuture<Result> send(PooledConnection connection, Request request) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        connection.connection().send(request, result::complete);
        return result;
    }

    /** Jetty's receiver may access a buffer after its release, so no other connection may ever acquire it. */
    @Test
    void buffersAreNotSharedBetweenConnections() {
        ByteBufferPool buffers = client.getByteBufferPool();
        RetainableByteBuffer first = buffers.acquire(4096, false);
        byte[] array = first.getByteBuffer().array();
        first.release();
        assertNotSame(array, buffers.acquire(4096, false).getByteBuffer().array());
    }

    @Test
    void connectionIsReusedAfterACompleteResponse() {
        PooledConnection first = acquire();
        assertTrue(send(first, request()).join().isSucceeded());
        connections.release(first, KEEP_ALIVE);
        assertSame(first, acquire());
    }

    /** An attempt may be abandoned between the acquisition of its connection and the send. */
    @Test
    void requestAbandonedBeforeTheSendIsNeverSent() {
        PooledConnection connection = acquire();
        Request request = request();
        connections.discard(connection);
        request.abort(new IllegalStateException("abandoned"));
        assertTrue(send(connection, request).join().isFailed());
        assertTrue(send(acquire(), request()).join().isSucceeded());
        assertEquals(1, engine.requests.size());
    }

    /** The engine sends part of an unsolicited response on an idle connection. */
    @Test
    void connectionThatReceivesBytesWhileIdleIsNotReused() throws Exception {
        PooledConnection first = acquire();
        assertTrue(send(first, request()).join().isSucceeded());
        connections.release(first, KEEP_ALIVE);
        long bytesBefore = first.connection().getBytesIn();
        ScriptedEngine.writeText(sockets.take().getOutputStream(), "HTTP/1.1 200 OK\r\nAttempt-Id: t");
        while (first.connection().getBytesIn() == bytesBefore) {
            Thread.onSpinWait();
        }
        assertNotSame(first, acquire());
        assertTrue(first.connection().isClosed());
    }

    /** With a limit of one connection: an unused one that is released counts once, and is reused if it was new. */
    @Test
    void unusedConnectionIsCountedOnce() {
        PooledConnection fresh = acquire();
        connections.releaseUnused(fresh);
        PooledConnection again = acquire();
        assertSame(fresh, again);
        connections.releaseUnused(again);
        assertTrue(again.connection().isClosed(), "its total idle time is no longer known");
        PooledConnection other = acquire();
        CompletableFuture<Boolean> limitReached = new CompletableFuture<>();
        connections.acquire(
                "i-1",
                NodeId.of(engine.address()),
                new ConnectionLimit(1, true),
                true,
                new EngineConnectionPool.AcquireListener() {
                    @Override
                    public void onAcquired(PooledConnection connection) {
                        limitReached.complete(false);
                    }

                    @Override
                    public void onAcquireFailed(EngineConnectionPool.Failure failure) {
                        limitReached.complete(failure == EngineConnectionPool.Failure.LIMIT_REACHED);
                    }
                });
        assertTrue(limitReached.join(), "the connection limit was exceeded");
        assertFalse(other.connection().isClosed());
    }

    @Test
    void clientHasNoIdleTimeout() {
        assertEquals(0, client.getIdleTimeout());
    }

    /** If there are more nodes than connections to an engine, an idle connection would be missing at another node. */
    @Test
    void noConnectionStaysIdleIfTheyAreScarce() {
        ConnectionLimit scarce = new ConnectionLimit(1, false);
        PooledConnection first = acquire(scarce, true);
        connections.release(first, KEEP_ALIVE);
        assertTrue(first.connection().isClosed());
        assertNotSame(first, acquire(scarce, true));
    }

    /** A non-repeatable request gets a new connection even if this node may have only one open. */
    @Test
    void oldConnectionIsReplacedForANonRepeatableRequest() {
        ConnectionLimit single = new ConnectionLimit(1, true);
        PooledConnection first = acquire(single, false);
        connections.release(first, KEEP_ALIVE);
        clockOffsetMs = 2000;
        PooledConnection second = acquire(single, false);
        assertNotSame(first, second);
        assertTrue(first.connection().isClosed());
        connections.release(second, KEEP_ALIVE);
        assertSame(second, acquire(single, false), "a recently used connection is reused");
    }
}
