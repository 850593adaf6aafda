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
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.RetainableByteBuffer;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ringspindle.protocol.NodeId;
import ringspindle.time.MonotonicClock;

/** Connections to engines: what is given up is never sent, and what saw anything unexpected carries nothing more. */
@Timeout(60)
class EngineConnectionPoolTest {
    private QueuedThreadPool pool;
    private ScheduledExecutorScheduler scheduler;
    private EngineConnectionPool wires;
    private StandInEngine engine;
    private final BlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();

    @BeforeEach
    void open() throws Exception {
        pool = new QueuedThreadPool(8, 2);
        pool.setDaemon(true);
        pool.setStopTimeout(0);
        pool.start();
        scheduler = new ScheduledExecutorScheduler("ticks", true, 1);
        scheduler.start();
        wires = new EngineConnectionPool(pool, scheduler, MonotonicClock.system());
        engine = new StandInEngine((seen, out, socket) -> {
            sockets.add(socket);
            StandInEngine.whole(200, "hello", "").run(seen, out, socket);
        });
    }

    @AfterEach
    void close() throws Exception {
        wires.close();
        engine.close();
        pool.stop();
        scheduler.stop();
    }

    private EngineConnectionPool.Wire take() {
        CompletableFuture<EngineConnectionPool.Wire> taken = new CompletableFuture<>();
        wires.take("i-1", NodeId.of(engine.address()), 1, true, new EngineConnectionPool.Ready() {
            @Override
            public void up(EngineConnectionPool.Wire wire) {
                taken.complete(wire);
            }

            @Override
            public void failed(boolean full) {
                taken.completeExceptionally(new AssertionError(full ? "full" : "no connection"));
            }
        });
        return taken.join();
    }

    private Request request() {
        return wires.client()
                .newRequest("http://" + engine.address() + "/x")
                .method("POST")
                .headers(h -> h.put("Attempt-Id", "t1"))
                .body(new BytesRequestContent(new byte[100_000]));
    }

    private static CompletableFuture<Result> send(EngineConnectionPool.Wire wire, Request request) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        wire.connection.send(request, result::complete);
        return result;
    }

    /** Jetty's receiver may touch a buffer after it has given it back, so no other connection may ever get it. */
    @Test
    void noBufferIsSharedBetweenConnections() {
        ByteBufferPool buffers = wires.client().getByteBufferPool();
        RetainableByteBuffer first = buffers.acquire(4096, false);
        byte[] array = first.getByteBuffer().array();
        first.release();
        assertNotSame(array, buffers.acquire(4096, false).getByteBuffer().array());
    }

    @Test
    void connectionIsKeptAfterAWholeAnswer() {
        EngineConnectionPool.Wire first = take();
        assertTrue(send(first, request()).join().isSucceeded());
        wires.give(first, 30);
        assertSame(first, take());
    }

    /** The attempt may be given up between the choice of its connection and the send. */
    @Test
    void whatWasGivenUpBeforeTheSendIsNeverSent() {
        EngineConnectionPool.Wire wire = take();
        Request request = request();
        wires.drop(wire);
        request.abort(new IllegalStateException("given up"));
        assertTrue(send(wire, request).join().isFailed());
        assertTrue(send(take(), request()).join().isSucceeded());
        assertEquals(1, engine.seen.size());
    }

    /** Half an answer that nobody asked for, on a connection at rest. */
    @Test
    void connectionThatSpeaksAtRestCarriesNothingMore() throws Exception {
        EngineConnectionPool.Wire first = take();
        assertTrue(send(first, request()).join().isSucceeded());
        wires.give(first, 30);
        long had = first.connection.getBytesIn();
        StandInEngine.say(sockets.take().getOutputStream(), "HTTP/1.1 200 OK\r\nAttempt-Id: t");
        while (first.connection.getBytesIn() == had) {
            Thread.onSpinWait();
        }
        assertNotSame(first, take());
        assertTrue(first.connection.isClosed());
    }

    /** One connection may be open: an unused one given back is counted once, and used again if it is new. */
    @Test
    void unusedConnectionIsCountedOnce() {
        EngineConnectionPool.Wire fresh = take();
        wires.giveUnused(fresh);
        EngineConnectionPool.Wire again = take();
        assertSame(fresh, again);
        wires.giveUnused(again);
        assertTrue(again.connection.isClosed(), "how long it rested is not known any more");
        EngineConnectionPool.Wire other = take();
        CompletableFuture<Boolean> full = new CompletableFuture<>();
        wires.take("i-1", NodeId.of(engine.address()), 1, true, new EngineConnectionPool.Ready() {
            @Override
            public void up(EngineConnectionPool.Wire wire) {
                full.complete(false);
            }

            @Override
            public void failed(boolean noneFree) {
                full.complete(noneFree);
            }
        });
        assertTrue(full.join(), "more connections than allowed");
        assertFalse(other.connection.isClosed());
    }

    @Test
    void silenceAloneEndsNoRequest() {
        assertEquals(0, wires.client().getIdleTimeout());
    }
}
