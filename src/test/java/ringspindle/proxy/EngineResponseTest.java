package ringspindle.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whatever an engine answers, no client gets another's response and no non-repeatable request is sent twice. */
@Timeout(60)
class EngineResponseTest extends ProxyFixture {
    private static final String CLOSE = "Connection: close\r\n";
    private static final int LARGE_BODY = 3 << 20;

    private static String interim(int status, String fields) {
        return "HTTP/1.1 " + status + " X\r\n" + fields + "\r\n";
    }

    private static String completeResponse(ScriptedEngine.ReceivedRequest request, String body) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.headers().get("Attempt-Id")
                + "\r\nServer-Seal: s\r\nKeep-Alive: timeout=30\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** Starts an engine that sends the text for each request; returns the connections that it received requests on. */
    private Set<Socket> engineThatSends(Function<ScriptedEngine.ReceivedRequest, String> response) throws IOException {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        engine("i-1", "z", (request, out, socket) -> {
            used.add(socket);
            ScriptedEngine.writeText(out, response.apply(request));
        });
        return used;
    }

    private static void assertMayHaveRun(String response) {
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
        assertFalse(response.contains("Retry-After") || response.contains("Server-Seal"), response);
    }

    private int requestCount() {
        return engines.stream().mapToInt(engine -> engine.requests.size()).sum();
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103})
    void interimResponsesAndTheirHeadersAreDropped(int status) throws Exception {
        Set<Socket> used = engineThatSends(request -> {
            String own =
                    "Attempt-Id: " + request.headers().get("Attempt-Id") + "\r\nContent-Encoding: x\r\nLink: y\r\n";
            return interim(status, own) + interim(status, own) + completeResponse(request, "hello");
        });
        for (int i = 0; i < 3; i++) {
            String response = sendAndReadAll("/once/x", "t" + i);
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("\r\n\r\nhello"), response);
            assertFalse(response.contains("Link"), response);
        }
        assertEquals(3, requestCount());
        assertEquals(1, used.size(), "the connection is reused after interim responses with the id");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Attempt-Id: other\r\n"})
    void noFurtherRequestAfterAnInterimResponseWithoutTheId(String fields) throws Exception {
        Set<Socket> used = engineThatSends(request -> interim(103, fields) + completeResponse(request, "hello"));
        for (int i = 0; i < 3; i++) {
            String response = sendAndReadAll("/once/x", "t" + i);
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("hello"), response);
        }
        assertEquals(3, used.size());
    }

    @Test
    void idAndSealOfAnInterimResponseDoNotReplaceThoseOfTheFinalOne() throws Exception {
        engineThatSends(
                request -> interim(103, "Attempt-Id: " + request.headers().get("Attempt-Id") + "\r\nServer-Seal: s\r\n")
                        + "HTTP/1.1 200 OK\r\n"
                        + (request.headers().get("Attempt-Id").equals("t1")
                                ? "Attempt-Id: t1\r\n"
                                : "Server-Seal: s\r\nAttempt-Id: other\r\n")
                        + "Content-Length: 2\r\n\r\nno");
        assertMayHaveRun(sendAndReadAll("/once/x", "t1"));
        assertMayHaveRun(sendAndReadAll("/once/x", "t2"));
        assertEquals(2, requestCount());
    }

    @Test
    void protocolSwitchIsNoResponse() throws Exception {
        engineThatSends(
                request -> interim(101, "Attempt-Id: t1\r\nServer-Seal: s\r\nUpgrade: x\r\nConnection: upgrade\r\n"));
        assertMayHaveRun(sendAndReadAll("/once/x", "t1"));
    }

    /** A refusal without the attempt's id may be a late response to another request, while this one is executed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "503 X\r\nNot-Executed: 1",
                "421 X\r\nInstance-Id: i-9",
                "421 X",
                "500 X\r\nServer-Seal: s",
                "503 X\r\nNot-Executed: 1\r\nAttempt-Id: other",
                "500 X\r\nServer-Seal: s\r\nAttempt-Id: other"
            })
    void failureWithoutTheIdIsNotAttributed(String head) throws Exception {
        ScriptedEngine.Script script = (request, out, socket) ->
                ScriptedEngine.writeText(out, "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n");
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        assertMayHaveRun(sendAndReadAll("/once/x", "t1"));
        assertEquals(1, requestCount(), "retried although it may have been executed");
    }

    /** The surplus bytes arrive in the same read as a complete response. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nAttempt-Id: t0\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\ntwo",
                "HTTP/1.1 200 OK\r\nAtt",
                "x",
                "\r\n"
            })
    void connectionWithSurplusBytesAfterAResponseIsNotReused(String surplus) throws Exception {
        Set<Socket> used = engineThatSends(request -> completeResponse(request, "hello") + surplus);
        for (int i = 0; i < 4; i++) {
            String response = sendAndReadAll("/once/x", "t" + i);
            assertTrue(
                    response.startsWith("HTTP/1.1 200")
                            && response.contains("Attempt-Id: t" + i)
                            && response.endsWith("hello"),
                    response);
        }
        assertEquals(4, used.size());
    }

    @Test
    void resetBetweenHeadersAndBodyIsNotRetried() throws Exception {
        ScriptedEngine.Script resetScript = (request, out, socket) -> {
            socket.setSoLinger(true, 0);
            socket.close();
        };
        for (String id : List.of("i-1", "i-2")) {
            engine(id, "z", resetScript).setEarlyScript(resetScript);
        }
        for (int i = 0; i < 5; i++) {
            assertMayHaveRun(readAll(send("/once/x", "t" + i, CLOSE, "b".repeat(LARGE_BODY))));
            assertEquals(i + 1, requestCount());
        }
    }

    /** Whatever the response: no incomplete success is forwarded, nothing is retried, and the connection is closed. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK\r\nServer-Seal: s", "503 X\r\nNot-Executed: 1"})
    void responseBeforeTheBodyIsSentEndsTheConnection(String head) throws Exception {
        ScriptedEngine engine = engine("i-1", "z", (request, out, socket) -> {
            throw new IOException("the body was read");
        });
        engine.setEarlyScript((request, out, socket) -> {
            ScriptedEngine.writeText(
                    out,
                    "HTTP/1.1 " + head + "\r\nAttempt-Id: " + request.headers().get("Attempt-Id")
                            + "\r\nContent-Length: 1\r\n\r\n1");
            socket.setSoLinger(true, 0);
            throw new IOException("break off");
        });
        String response = readAll(send("/once/x", "t1", CLOSE, "b".repeat(LARGE_BODY)));
        assertTrue(
                response.startsWith("HTTP/1.1 50")
                        || response.startsWith("HTTP/1.1 200") && response.endsWith("\r\n\r\n1"),
                response);
        assertEquals(1, requestCount());
        assertEquals("closed", engine.closed.poll(10, TimeUnit.SECONDS));
    }

    @Test
    void halfClosedConnectionLosesTheResponseAndIsClosed() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", (request, out, socket) -> {
            socket.shutdownOutput();
            assertEquals(-1, socket.getInputStream().read());
        });
        engine("i-2", "z", (request, out, socket) -> socket.shutdownOutput());
        assertMayHaveRun(sendAndReadAll("/once/x", "t1"));
        assertEquals(1, requestCount());
        assertEquals(
                1, engines.stream().filter(other -> !other.requests.isEmpty()).count());
        assertTrue(engine.requests.isEmpty() || engine.closed.poll(10, TimeUnit.SECONDS) != null);
    }

    /** The first engine answers only after the second one: its response is dropped and its connection is closed. */
    @Test
    void lateResponseOfAnAbandonedAttemptIsDropped() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        Set<String> silentOnce = ConcurrentHashMap.newKeySet();
        ScriptedEngine.Script script = (request, out, socket) -> {
            if (silentOnce.add("once")) {
                answered.await();
                try {
                    ScriptedEngine.writeText(out, completeResponse(request, "late"));
                } finally {
                    sent.countDown();
                }
                return;
            }
            ScriptedEngine.writeText(out, completeResponse(request, "hello"));
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        assertTrue(sendAndReadAll("/card/x", "t0").endsWith("hello"));
        answered.countDown();
        sent.await();
        for (int i = 1; i < 9; i++) {
            String response = sendAndReadAll("/card/x", "t" + i);
            assertTrue(response.contains("Attempt-Id: t" + i) && response.endsWith("hello"), response);
        }
        assertEquals(10, requestCount());
    }

    @Test
    void requestReachesNoMoreEnginesThanItsRouteAllows() throws Exception {
        for (int i = 0; i < 5; i++) {
            engine("i-" + i, "z", (request, out, socket) -> socket.close());
        }
        for (int i = 1; i <= 6; i++) {
            String id = "t" + i;
            String response = sendAndReadAll("/card/x", id);
            assertTrue(response.startsWith("HTTP/1.1 50"), response);
            long reached = engines.stream()
                    .filter(engine -> engine.requests.stream()
                            .anyMatch(request -> id.equals(request.headers().get("Attempt-Id"))))
                    .count();
            assertTrue(reached <= 2, id + " reached " + reached);
        }
    }

    @Test
    void cookiesOfAnEngineAreNotSentWithOtherRequests() throws Exception {
        ScriptedEngine engine =
                engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", "Set-Cookie: who=me; Path=/\r\n"));
        assertTrue(sendAndReadAll("/card/x", "t1").contains("Set-Cookie"));
        sendAndReadAll("/card/x", "t2");
        for (ScriptedEngine.ReceivedRequest request : engine.requests) {
            assertFalse(
                    request.headers().containsKey("Cookie"), request.headers().toString());
        }
    }

    @Test
    void headersUpToTheLimitAreForwarded() throws Exception {
        ScriptedEngine engine = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        String prefix = "ab:1,".repeat(3000);
        String response = readAll(send("/once/x", "t1", CLOSE + "Prompt-Prefix: " + prefix + "cd:2\r\n", ""));
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertEquals(prefix + "cd:2", engine.requests.take().headers().get("Prompt-Prefix"));
    }

    /** Also if the connection is closed after the response, so that its end could be taken for that of the stream. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void brokenStreamDoesNotLookCompleteOnAClosingConnection(boolean leaving) throws Exception {
        ScriptedEngine engine = engine("i-1", "z", (request, out, socket) -> {
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk("id: 1\ndata: a\n\n"));
            throw new IOException("break off");
        });
        if (leaving) {
            proxy.beginShutdown(Long.MAX_VALUE);
        }
        String head = "HTTP/1.1 200";
        String broken = readAll(send("/short/x", "t1", leaving ? "" : CLOSE, ""));
        assertTrue(broken.startsWith(head) && broken.contains("Connection: close"), broken);
        assertTrue(broken.contains("Transfer-Encoding: chunked") && !broken.endsWith("0\r\n\r\n"), broken);
        engine.setScript((request, out, socket) -> ScriptedEngine.writeText(
                out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"));
        String complete = readAll(send("/short/x", "t2", leaving ? "" : CLOSE, ""));
        assertTrue(complete.startsWith(head) && complete.endsWith("0\r\n\r\n"), complete);
    }

    /** Some clients disconnect during their streams while others, on new connections, read theirs to the end. */
    @Test
    void disconnectingClientsDoNotAffectOtherStreams() throws Exception {
        engine("i-1", "z", (request, out, socket) -> {
            String id = request.headers().get("Attempt-Id");
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(request));
            for (int i = 0; i < 40; i++) {
                ScriptedEngine.writeText(
                        out, ScriptedEngine.chunk("id: " + i + "\ndata: <" + id + ">" + ".".repeat(20_000) + "\n\n"));
            }
            ScriptedEngine.writeText(out, "0\r\n\r\n");
        });
        for (int round = 0; round < 20; round++) {
            String id = "t" + round;
            List<Socket> disconnecting = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Socket client = send("/short/x", "v" + round + "-" + i, "", "");
                assertTrue(readUntil(client, "data: <v" + round + "-" + i + ">").startsWith("HTTP/1.1 200"));
                disconnecting.add(client);
            }
            for (Socket client : disconnecting) {
                client.setSoLinger(true, 0);
                client.close();
            }
            String response = readAll(send("/short/x", id, CLOSE, ""));
            assertTrue(response.endsWith("0\r\n\r\n"), "the stream of " + id + " is incomplete");
            assertEquals(41, response.split("<" + id + ">", -1).length, "events are missing");
            assertFalse(response.contains("<v"), "an event of another client");
        }
    }
}
