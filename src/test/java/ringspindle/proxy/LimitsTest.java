package ringspindle.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Effects of the configured limits and of a route's deadline on clients and engines. */
@Timeout(60)
class LimitsTest extends ProxyFixture {
    private static final int SHORT_IDLE_MS = 300;
    private static final String SHORT_IDLE = limits("idleTimeoutMs", SHORT_IDLE_MS);

    private static String limits(String name, int value) {
        return ",\"limits\":{\"" + name + "\":" + value + "}";
    }

    /** Starts an engine that answers at once, except for requests to /once/, which it never answers. */
    private ScriptedEngine engineSilentForOnce(CountDownLatch testEnd) throws IOException {
        return engine("i-1", "z", (request, out, socket) -> {
            if (request.requestLine().contains("/once/")) {
                testEnd.await();
            }
            ScriptedEngine.respondWith(200, "hello", "").run(request, out, socket);
        });
    }

    /** Waits for much longer than the short idle timeout, by a request that runs into its deadline. */
    private void waitPastIdleTimeout() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        ScriptedEngine.writeText(
                socket.getOutputStream(),
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: wait\r\nDeadline-Ms: " + 4 * SHORT_IDLE_MS
                        + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assertTrue(readAll(socket).startsWith("HTTP/1.1 504"));
    }

    @Test
    void raisedIdleTimeoutAppliesToOpenConnections() throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        engineSilentForOnce(testEnd);
        applyConfiguration(4, SHORT_IDLE);
        try (Socket client = send("/card/x", "t1", "", "")) {
            assertTrue(readUntil(client, "hello").startsWith("HTTP/1.1 200"));
            applyConfiguration(5, limits("idleTimeoutMs", 30_000));
            waitPastIdleTimeout();
            writeRequest(client, "/card/x", "t2", "", "");
            assertTrue(readUntil(client, "hello").startsWith("HTTP/1.1 200"));
        }
        testEnd.countDown();
    }

    @Test
    void loweredIdleTimeoutAppliesOnlyToNewConnections() throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        engineSilentForOnce(testEnd);
        try (Socket old = send("/card/x", "t1", "", "")) {
            assertTrue(readUntil(old, "hello").startsWith("HTTP/1.1 200"));
            applyConfiguration(4, SHORT_IDLE);
            try (Socket fresh = send("/card/x", "t2", "", "")) {
                assertTrue(readUntil(fresh, "hello").startsWith("HTTP/1.1 200"));
                assertEquals(-1, fresh.getInputStream().read(), "the idle connection was not closed by the timeout");
            }
            writeRequest(old, "/card/x", "t3", "", "");
            assertTrue(
                    readUntil(old, "hello").startsWith("HTTP/1.1 200"),
                    "closed before the idle timeout that applied when it was opened");
        }
        testEnd.countDown();
    }

    @Test
    void connectionWithARequestInProgressIsNotIdle() throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        ScriptedEngine engine = engine("i-1", "z", (request, out, socket) -> {
            (request.requestLine().contains("/once/") ? testEnd : release).await();
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk("id: 0\ndata: x\n\n") + "0\r\n\r\n");
        });
        applyConfiguration(4, SHORT_IDLE);
        try (Socket client = send("/short/x", "t1", "", "")) {
            engine.requests.take();
            waitPastIdleTimeout();
            release.countDown();
            String first = readUntil(client, "0\r\n\r\n");
            assertTrue(first.startsWith("HTTP/1.1 200"), first);
            writeRequest(client, "/short/x", "t2", "", "");
            String second = readUntil(client, "0\r\n\r\n");
            assertTrue(second.contains("Attempt-Id: t2"), second);
        }
        testEnd.countDown();
    }

    @Test
    void bodyAboveTheLimitIsRejectedAndOneAtTheLimitIsNot() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        applyConfiguration(4, limits("maxBodyBytes", 1000));
        assertTrue(readAll(send("/card/x", "t1", "Connection: close\r\n", "b".repeat(1000)))
                .startsWith("HTTP/1.1 200"));
        assertTrue(readAll(send("/card/x", "t2", "Connection: close\r\n", "b".repeat(1001)))
                .startsWith("HTTP/1.1 413"));
        assertEquals(1, engine.requests.size());
    }

    /** The route's deadline applies if the client's is later, and is sent to the engine. */
    @Test
    void routeDeadlineLimitsTheTimeOfTheEngineAndOfTheClient() throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        ScriptedEngine engine = engineSilentForOnce(testEnd);
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(20_000);
        ScriptedEngine.writeText(
                client.getOutputStream(),
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t1\r\n"
                        + "Deadline-Ms: 600000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assertTrue(Integer.parseInt(engine.requests.take().headers().get("Deadline-Ms")) <= 3000);
        assertTrue(readAll(client).startsWith("HTTP/1.1 504"));
        testEnd.countDown();
    }

    /** A client that reads nothing blocks the stream; the proxy must not keep setting timers until the deadline. */
    @Test
    void slowClientCausesNoRepeatedTimers() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", (request, out, socket) -> {
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(request));
            for (int i = 0; i < 200; i++) {
                ScriptedEngine.writeText(
                        out, ScriptedEngine.chunk("id: " + i + "\ndata: " + "x".repeat(200_000) + "\n\n"));
            }
        });
        try (Socket client = send("/long/x", "t1", "", "")) {
            engine.requests.take();
            assertEquals(1, proxy.activeRequests());
            while (proxy.activeRequests() > 0) {
                Thread.onSpinWait();
            }
            assertEquals(0, engine.requests.size(), "retried although the client caused the delay");
            assertEquals(1L, proxy.endCounts().get("CANCELED OVERALL_DEADLINE"));
            assertTrue(scheduledTasks.sum() < 100, scheduledTasks + " timers");
            assertTrue(client.isConnected());
        }
    }

    /** A stopping node refuses requests that could outlast it, except for those sent right after it began to stop. */
    @Test
    void requestThatMayOutliveAStoppingNodeIsRefused() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        proxy.beginShutdown(clock.nowMs() + 7300);
        assertTrue(sendAndReadAll("/once/x", "t1").startsWith("HTTP/1.1 200"));
        clockOffsetMs += 5500;
        String refused = readAll(send("/once/x", "t2", "", ""));
        assertTrue(refused.startsWith("HTTP/1.1 503") && refused.contains("Retry-After"), refused);
        assertTrue(refused.contains("Connection: close"), refused);
        Socket client = new Socket("127.0.0.1", port);
        ScriptedEngine.writeText(
                client.getOutputStream(),
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t3\r\nDeadline-Ms: 900\r\n"
                        + "Content-Length: 0\r\n\r\n");
        String served = readAll(client);
        assertTrue(served.startsWith("HTTP/1.1 200"), served);
        assertEquals(2, engine.requests.size());
    }

    /** Without another node, a stream that could outlast the node is sent complete or fails with an error status. */
    @Test
    void lastNodeOfARegionAcceptsLongStreamsAndForwardsThemComplete() throws Exception {
        CountDownLatch moreEvents = new CountDownLatch(1);
        ScriptedEngine engine = engine("i-1", "z", (request, out, socket) -> {
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk("id: 0\ndata: x\n\n"));
            if (request.requestLine().contains("broken")) {
                socket.close();
            } else {
                moreEvents.await();
                ScriptedEngine.writeText(out, ScriptedEngine.chunk("id: 1\ndata: y\n\n") + "0\r\n\r\n");
            }
        });
        proxy.beginShutdown(clock.nowMs() + 7300);
        proxy.setLastInRegion(true);
        clockOffsetMs += 5500;
        Socket stream = send("/long/x", "t1", "", "");
        engine.requests.take();
        String broken = readAll(send("/long/broken", "t2", "", ""));
        assertTrue(broken.startsWith("HTTP/1.1 502") && !broken.contains("data: x"), broken);
        stream.setSoTimeout(1);
        assertThrows(SocketTimeoutException.class, () -> stream.getInputStream().read());
        stream.setSoTimeout(20_000);
        moreEvents.countDown();
        String complete = readAll(stream);
        assertTrue(complete.startsWith("HTTP/1.1 200") && complete.contains("data: x\n\nid: 1\ndata: y"), complete);
        assertTrue(complete.contains("Connection: close"), complete);
    }

    /** Clients use open connections until the process exits: a late request is refused or delays the exit. */
    @Test
    void requestOnAnOpenConnectionIsRefusedOnceTheNodeStops() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedEngine engine = engine("i-1", "z", (request, out, socket) -> {
            release.await();
            ScriptedEngine.respondWith(200, "hello", "").run(request, out, socket);
        });
        Socket kept = send("/once/x", "t1", "", "");
        engine.requests.take();
        assertFalse(proxy.closeIfIdle(), "a request is in progress");
        proxy.beginShutdown(clock.nowMs() + 7300);
        release.countDown();
        assertTrue(readAll(kept).startsWith("HTTP/1.1 200"));
        while (!proxy.closeIfIdle()) {
            Thread.onSpinWait();
        }
        String refused = readAll(send("/once/x", "t2", "", ""));
        assertTrue(refused.startsWith("HTTP/1.1 503") && refused.contains("Retry-After"), refused);
        assertTrue(refused.contains("Connection: close"), refused);
        assertEquals(0, engine.requests.size(), "the refused request was executed");
    }

    /** The deadline also applies to a missing body: the response says that the request was not executed. */
    @Test
    void requestWithoutItsBodyIsAnsweredAtItsDeadline() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(20_000);
            ScriptedEngine.writeText(
                    client.getOutputStream(),
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t1\r\nDeadline-Ms: 300\r\n"
                            + "Content-Length: 10\r\n\r\nabc");
            String response = readUntil(client, "\r\n\r\n");
            assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("Retry-After"), response);
        }
        assertEquals(0, engine.requests.size());
    }

    /** At the end of the grace period waiting clients get a complete response, and new requests are refused. */
    @Test
    void requestsInProgressWhenTheNodeStopsAreAnswered() throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        ScriptedEngine engine = engine("i-1", "z", (request, out, socket) -> testEnd.await());
        Socket held = send("/card/x", "t1", "", "");
        Socket stream = send("/short/x", "t2", "", "");
        engine.requests.take();
        engine.requests.take();
        assertEquals(2, proxy.cancelActiveRequests());
        assertTrue(readUntil(held, "BROKEN\"}").startsWith("HTTP/1.1 502"));
        assertTrue(readUntil(stream, "BROKEN\"}").startsWith("HTTP/1.1 502"));
        String refused = readAll(send("/card/x", "t3", "", ""));
        assertTrue(refused.startsWith("HTTP/1.1 503") && refused.contains("LEAVING"), refused);
        assertEquals(0, engine.requests.size());
        testEnd.countDown();
    }

    /** Returns true if a 408 response can be read; false for a silent or closed connection. */
    private static boolean receivesTimeoutResponse(Socket socket) {
        try {
            return socket.getInputStream().read() >= 0
                    && readUntil(socket, "408").contains("408");
        } catch (IOException silentOrClosed) {
            return false;
        }
    }

    @Test
    void slowHeadersEndTheConnection() throws Exception {
        engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        applyConfiguration(4, limits("headerTimeoutMs", 300));
        try (Socket slow = new Socket("127.0.0.1", port)) {
            slow.setSoTimeout(20_000);
            ScriptedEngine.writeText(slow.getOutputStream(), "POST /card/x HTTP/1.1\r\nHost: h.example\r\n");
            assertTrue(readAll(slow).startsWith("HTTP/1.1 408"));
        }
    }

    /** The unread rest of a rejected body must not start the header timeout. */
    @Test
    void restOfABodyAfterAnEarlyRefusalIsNotTakenForHeaders() throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        engineSilentForOnce(testEnd);
        applyConfiguration(4, limits("headerTimeoutMs", 300));
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(20_000);
            ScriptedEngine.writeText(
                    client.getOutputStream(),
                    "POST /none/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 10\r\n\r\n01234");
            assertTrue(readUntil(client, "NO_MAPPING").startsWith("HTTP/1.1 404"));
            ScriptedEngine.writeText(client.getOutputStream(), "56789");
            waitPastIdleTimeout();
            client.setSoTimeout(1);
            assertFalse(receivesTimeoutResponse(client), "the rest of the body was taken for request headers");
        }
        testEnd.countDown();
    }

    @Test
    void connectionBetweenRequestsHasNoHeaderTimeout() throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        engineSilentForOnce(testEnd);
        applyConfiguration(4, limits("headerTimeoutMs", 300));
        try (Socket client = send("/card/x", "t1", "", "")) {
            assertTrue(readUntil(client, "hello").startsWith("HTTP/1.1 200"));
            waitPastIdleTimeout();
            writeRequest(client, "/card/x", "t2", "", "");
            assertTrue(readUntil(client, "hello").startsWith("HTTP/1.1 200"));
        }
        testEnd.countDown();
    }

    @Test
    void responseBeforeTheBodyIsReadReachesTheClient() throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        ScriptedEngine engine = engine("i-1", "z", ScriptedEngine.respondWith(200, "late", ""));
        engine.setEarlyScript((request, out, socket) -> {
            ScriptedEngine.respondWith(200, "early", "").run(request, out, socket);
            testEnd.await();
        });
        applyConfiguration(4, limits("maxBodyBytes", 64 << 20));
        try (Socket client = send("/once/x", "t1", "Connection: close\r\n", "x".repeat(24 << 20))) {
            String response = readAll(client);
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("early"), response);
        }
        testEnd.countDown();
    }

    @Test
    void refusalNamesTheMissingEngine() throws Exception {
        assertTrue(sendAndReadAll("/once/x", "t1").contains("NO_ENGINE"));
    }

    @Test
    void batchJobIsRefusedAndReachesNoEngine() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        String response = readAll(send("/batch/x", "t1", "Connection: close\r\n", "{\"requests\":[]}"));
        assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("Retry-After"), response);
        assertTrue(engine.requests.isEmpty());
    }
}
