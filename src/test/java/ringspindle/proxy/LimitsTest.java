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

/** The limits of a configuration, and the deadline of a route, as clients and engines see them. */
@Timeout(60)
class LimitsTest extends ProxyFixture {
    private static final int SHORT_IDLE_MS = 300;
    private static final String SHORT_IDLE = limits("idleTimeoutMs", SHORT_IDLE_MS);

    private static String limits(String name, int value) {
        return ",\"limits\":{\"" + name + "\":" + value + "}";
    }

    /** An engine that answers at once, but for requests of /once/, which it never answers. */
    private ScriptedEngine engineSilentFor(CountDownLatch never) throws IOException {
        return engine("i-1", "z", (seen, out, socket) -> {
            if (seen.requestLine().contains("/once/")) {
                never.await();
            }
            ScriptedEngine.respondWith(200, "hello", "").run(seen, out, socket);
        });
    }

    /** Lets far more than the short idle time pass: a silent request runs into its own deadline. */
    private void outlastTheShortIdleTime() throws IOException {
        Socket s = new Socket("127.0.0.1", port);
        ScriptedEngine.writeText(
                s.getOutputStream(),
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: wait\r\nDeadline-Ms: " + 4 * SHORT_IDLE_MS
                        + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assertTrue(all(s).startsWith("HTTP/1.1 504"));
    }

    @Test
    void openConnectionMayRestAsLongAsARaisedLimitSays() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        engineSilentFor(never);
        config(4, SHORT_IDLE);
        try (Socket s = send("/card/x", "t1", "", "")) {
            assertTrue(until(s, "hello").startsWith("HTTP/1.1 200"));
            config(5, limits("idleTimeoutMs", 30_000));
            outlastTheShortIdleTime();
            ask(s, "/card/x", "t2", "", "");
            assertTrue(until(s, "hello").startsWith("HTTP/1.1 200"));
        }
        never.countDown();
    }

    @Test
    void loweredLimitHoldsForNewConnectionsOnly() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        engineSilentFor(never);
        try (Socket old = send("/card/x", "t1", "", "")) {
            assertTrue(until(old, "hello").startsWith("HTTP/1.1 200"));
            config(4, SHORT_IDLE);
            try (Socket fresh = send("/card/x", "t2", "", "")) {
                assertTrue(until(fresh, "hello").startsWith("HTTP/1.1 200"));
                assertEquals(-1, fresh.getInputStream().read(), "an idle connection is closed in the end");
            }
            ask(old, "/card/x", "t3", "", "");
            assertTrue(
                    until(old, "hello").startsWith("HTTP/1.1 200"), "closed sooner than was told when it was opened");
        }
        never.countDown();
    }

    @Test
    void connectionWithARequestAtWorkIsNotIdle() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        CountDownLatch hold = new CountDownLatch(1);
        ScriptedEngine e = engine("i-1", "z", (seen, out, socket) -> {
            (seen.requestLine().contains("/once/") ? never : hold).await();
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk("id: 0\ndata: x\n\n") + "0\r\n\r\n");
        });
        config(4, SHORT_IDLE);
        try (Socket s = send("/short/x", "t1", "", "")) {
            e.requests.take();
            outlastTheShortIdleTime();
            hold.countDown();
            String first = until(s, "0\r\n\r\n");
            assertTrue(first.startsWith("HTTP/1.1 200"), first);
            ask(s, "/short/x", "t2", "", "");
            String second = until(s, "0\r\n\r\n");
            assertTrue(second.contains("Attempt-Id: t2"), second);
        }
        never.countDown();
    }

    @Test
    void bodyOverTheLimitIsRefusedAndOneAtTheLimitIsNot() throws Exception {
        ScriptedEngine e = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        config(4, limits("maxBodyBytes", 1000));
        assertTrue(all(send("/card/x", "t1", "Connection: close\r\n", "b".repeat(1000)))
                .startsWith("HTTP/1.1 200"));
        assertTrue(all(send("/card/x", "t2", "Connection: close\r\n", "b".repeat(1001)))
                .startsWith("HTTP/1.1 413"));
        assertEquals(1, e.requests.size());
    }

    /** The route's time binds where the client would wait for longer, and the engine is told so. */
    @Test
    void routesDeadlineBoundsWhatTheEngineIsGivenAndHowLongItIsHeld() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        ScriptedEngine e = engineSilentFor(never);
        Socket s = new Socket("127.0.0.1", port);
        s.setSoTimeout(20_000);
        ScriptedEngine.writeText(
                s.getOutputStream(),
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t1\r\n"
                        + "Deadline-Ms: 600000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assertTrue(Integer.parseInt(e.requests.take().headers().get("Deadline-Ms")) <= 3000);
        assertTrue(all(s).startsWith("HTTP/1.1 504"));
        never.countDown();
    }

    /** A client that reads nothing holds its engine back: no reason to look at the clock all the time until the deadline. */
    @Test
    void clientThatDoesNotReadCostsNoTimers() throws Exception {
        ScriptedEngine e = engine("i-1", "z", (seen, out, socket) -> {
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(seen));
            for (int i = 0; i < 200; i++) {
                ScriptedEngine.writeText(
                        out, ScriptedEngine.chunk("id: " + i + "\ndata: " + "x".repeat(200_000) + "\n\n"));
            }
        });
        try (Socket s = send("/long/x", "t1", "", "")) {
            e.requests.take();
            assertEquals(1, front.active());
            while (front.active() > 0) {
                Thread.onSpinWait();
            }
            assertEquals(0, e.requests.size(), "taken up at the engine again though the client held it up");
            assertEquals(1L, front.endCounts().get("CANCELED OVERALL_DEADLINE"));
            assertTrue(scheduled.sum() < 100, scheduled + " timers");
            assertTrue(s.isConnected());
        }
    }

    /** A node that leaves takes no more what may last longer than it does itself, but for those sent right after its order. */
    @Test
    void requestThatMayOutliveALeavingNodeIsRefused() throws Exception {
        ScriptedEngine e = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        front.leave(clock.nowMs() + 7300);
        assertTrue(ok("/once/x", "t1").startsWith("HTTP/1.1 200"));
        onMs += 5500;
        String refused = all(send("/once/x", "t2", "", ""));
        assertTrue(refused.startsWith("HTTP/1.1 503") && refused.contains("Retry-After"), refused);
        assertTrue(refused.contains("Connection: close"), refused);
        Socket client = new Socket("127.0.0.1", port);
        ScriptedEngine.writeText(
                client.getOutputStream(),
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t3\r\nDeadline-Ms: 900\r\n"
                        + "Content-Length: 0\r\n\r\n");
        String served = all(client);
        assertTrue(served.startsWith("HTTP/1.1 200"), served);
        assertEquals(2, e.requests.size());
    }

    /** Nobody else can take it: a stream that may last longer than the node comes whole, or as a failure that looks like one. */
    @Test
    void lastNodeOfARegionTakesStreamsThatItMayNotOutliveAndPassesThemOnWhole() throws Exception {
        CountDownLatch more = new CountDownLatch(1);
        ScriptedEngine e = engine("i-1", "z", (seen, out, socket) -> {
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk("id: 0\ndata: x\n\n"));
            if (seen.requestLine().contains("broken")) {
                socket.close();
            } else {
                more.await();
                ScriptedEngine.writeText(out, ScriptedEngine.chunk("id: 1\ndata: y\n\n") + "0\r\n\r\n");
            }
        });
        front.leave(clock.nowMs() + 7300);
        front.serveAsLast(true);
        onMs += 5500;
        Socket stream = send("/long/x", "t1", "", "");
        e.requests.take();
        String broken = all(send("/long/broken", "t2", "", ""));
        assertTrue(broken.startsWith("HTTP/1.1 502") && !broken.contains("data: x"), broken);
        stream.setSoTimeout(1);
        assertThrows(SocketTimeoutException.class, () -> stream.getInputStream().read());
        stream.setSoTimeout(20_000);
        more.countDown();
        String whole = all(stream);
        assertTrue(whole.startsWith("HTTP/1.1 200") && whole.contains("data: x\n\nid: 1\ndata: y"), whole);
        assertTrue(whole.contains("Connection: close"), whole);
    }

    /** Clients use open connections until the process is gone: what comes as it ends is refused, or keeps it from ending. */
    @Test
    void requestOnAnOpenConnectionIsNotTakenOnceTheNodeEnds() throws Exception {
        CountDownLatch hold = new CountDownLatch(1);
        ScriptedEngine engine = engine("i-1", "z", (seen, out, socket) -> {
            hold.await();
            ScriptedEngine.respondWith(200, "hello", "").run(seen, out, socket);
        });
        Socket kept = send("/once/x", "t1", "", "");
        engine.requests.take();
        assertFalse(front.refuseIfIdle(), "a request is under way");
        front.leave(clock.nowMs() + 7300);
        hold.countDown();
        assertTrue(all(kept).startsWith("HTTP/1.1 200"));
        while (!front.refuseIfIdle()) {
            Thread.onSpinWait();
        }
        String refused = all(send("/once/x", "t2", "", ""));
        assertTrue(refused.startsWith("HTTP/1.1 503") && refused.contains("Retry-After"), refused);
        assertTrue(refused.contains("Connection: close"), refused);
        assertEquals(0, engine.requests.size(), "it has not run");
    }

    /** The deadline holds for a body that does not come, too: nothing has run, and the client is told so. */
    @Test
    void requestWhoseBodyDoesNotComeIsAnsweredAtItsDeadline() throws Exception {
        ScriptedEngine e = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(20_000);
            ScriptedEngine.writeText(
                    client.getOutputStream(),
                    "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t1\r\nDeadline-Ms: 300\r\n"
                            + "Content-Length: 10\r\n\r\nabc");
            String got = until(client, "\r\n\r\n");
            assertTrue(got.startsWith("HTTP/1.1 503") && got.contains("Retry-After"), got);
        }
        assertEquals(0, e.requests.size());
    }

    /** At the end of the grace time whoever waits gets a whole answer, and nobody is taken any more. */
    @Test
    void requestsUnderWayAtTheEndOfTheNodeAreAnswered() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        ScriptedEngine e = engine("i-1", "z", (seen, out, socket) -> never.await());
        Socket held = send("/card/x", "t1", "", "");
        Socket stream = send("/short/x", "t2", "", "");
        e.requests.take();
        e.requests.take();
        assertEquals(2, front.endAll());
        assertTrue(until(held, "BROKEN\"}").startsWith("HTTP/1.1 502"));
        assertTrue(until(stream, "BROKEN\"}").startsWith("HTTP/1.1 502"));
        String refused = all(send("/card/x", "t3", "", ""));
        assertTrue(refused.startsWith("HTTP/1.1 503") && refused.contains("LEAVING"), refused);
        assertEquals(0, e.requests.size());
        never.countDown();
    }

    /** True if there are bytes to read; an open connection without any, and a closed one, have none. */
    private static boolean saysMore(Socket s) {
        try {
            return s.getInputStream().read() >= 0 && until(s, "408").contains("408");
        } catch (IOException silentOrClosed) {
            return false;
        }
    }

    @Test
    void headThatTakesTooLongEndsItsConnection() throws Exception {
        engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        config(4, limits("headerTimeoutMs", 300));
        try (Socket slow = new Socket("127.0.0.1", port)) {
            slow.setSoTimeout(20_000);
            ScriptedEngine.writeText(slow.getOutputStream(), "POST /card/x HTTP/1.1\r\nHost: h.example\r\n");
            assertTrue(all(slow).startsWith("HTTP/1.1 408"));
        }
    }

    /** The rest of a body that nobody wanted is no head. */
    @Test
    void bodyBehindAnEarlyRefusalIsNoHead() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        engineSilentFor(never);
        config(4, limits("headerTimeoutMs", 300));
        try (Socket s = new Socket("127.0.0.1", port)) {
            s.setSoTimeout(20_000);
            ScriptedEngine.writeText(
                    s.getOutputStream(),
                    "POST /none/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 10\r\n\r\n01234");
            assertTrue(until(s, "NO_MAPPING").startsWith("HTTP/1.1 404"));
            ScriptedEngine.writeText(s.getOutputStream(), "56789");
            outlastTheShortIdleTime();
            s.setSoTimeout(1);
            assertFalse(saysMore(s), "the connection is closed or open, and says no more");
        }
        never.countDown();
    }

    @Test
    void connectionBetweenRequestsHasNoHeadTimeout() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        engineSilentFor(never);
        config(4, limits("headerTimeoutMs", 300));
        try (Socket s = send("/card/x", "t1", "", "")) {
            assertTrue(until(s, "hello").startsWith("HTTP/1.1 200"));
            outlastTheShortIdleTime();
            ask(s, "/card/x", "t2", "", "");
            assertTrue(until(s, "hello").startsWith("HTTP/1.1 200"));
        }
        never.countDown();
    }

    @Test
    void answerThatComesBeforeTheBodyIsReadReachesTheClient() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        ScriptedEngine engine = engine("i-1", "z", ScriptedEngine.respondWith(200, "late", ""));
        engine.setEarlyScript((seen, out, socket) -> {
            ScriptedEngine.respondWith(200, "early", "").run(seen, out, socket);
            never.await();
        });
        config(4, limits("maxBodyBytes", 64 << 20));
        try (Socket s = send("/once/x", "t1", "Connection: close\r\n", "x".repeat(24 << 20))) {
            String answer = all(s);
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("early"), answer);
        }
        never.countDown();
    }

    @Test
    void refusalSaysThatThereIsNoEngine() throws Exception {
        assertTrue(ok("/once/x", "t1").contains("NO_ENGINE"));
    }

    @Test
    void batchJobIsRefusedAndReachesNoEngine() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        String answer = all(send("/batch/x", "t1", "Connection: close\r\n", "{\"requests\":[]}"));
        assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("Retry-After"), answer);
        assertTrue(engine.requests.isEmpty());
    }
}
