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

/** No answer to the wrong request, and nothing that may run only once sent twice, whatever an engine answers. */
@Timeout(60)
class EngineAnswersTest extends ProxyFixture {
    private static final String CLOSE = "Connection: close\r\n";
    private static final int LARGE_BODY = 3 << 20;

    private static String interim(int status, String fields) {
        return "HTTP/1.1 " + status + " X\r\n" + fields + "\r\n";
    }

    private static String whole(ScriptedEngine.ReceivedRequest seen, String body) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + seen.headers().get("Attempt-Id")
                + "\r\nServer-Seal: s\r\nKeep-Alive: timeout=30\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** An engine that answers with that text each time and notes the connections that requests came on. */
    private Set<Socket> engineThatSays(Function<ScriptedEngine.ReceivedRequest, String> answer) throws IOException {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        engine("i-1", "z", (seen, out, socket) -> {
            used.add(socket);
            ScriptedEngine.writeText(out, answer.apply(seen));
        });
        return used;
    }

    private static void assertMayHaveRun(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertFalse(answer.contains("Retry-After") || answer.contains("Server-Seal"), answer);
    }

    private int arrivals() {
        return engines.stream().mapToInt(e -> e.requests.size()).sum();
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103})
    void interimAnswersArePassedOverAndLendNothing(int status) throws Exception {
        Set<Socket> used = engineThatSays(s -> {
            String own = "Attempt-Id: " + s.headers().get("Attempt-Id") + "\r\nContent-Encoding: x\r\nLink: y\r\n";
            return interim(status, own) + interim(status, own) + whole(s, "hello");
        });
        for (int i = 0; i < 3; i++) {
            String got = ok("/once/x", "t" + i);
            assertTrue(got.startsWith("HTTP/1.1 200") && got.endsWith("\r\n\r\nhello"), got);
            assertFalse(got.contains("Link"), got);
        }
        assertEquals(3, arrivals());
        assertEquals(1, used.size(), "interim answers that bear the id cost no connection");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Attempt-Id: other\r\n"})
    void noFurtherRequestAfterAnInterimAnswerWithoutTheId(String fields) throws Exception {
        Set<Socket> used = engineThatSays(s -> interim(103, fields) + whole(s, "hello"));
        for (int i = 0; i < 3; i++) {
            String got = ok("/once/x", "t" + i);
            assertTrue(got.startsWith("HTTP/1.1 200") && got.endsWith("hello"), got);
        }
        assertEquals(3, used.size());
    }

    @Test
    void idAndSealOfAnInterimAnswerDoNotStandInForThoseOfTheAnswer() throws Exception {
        engineThatSays(s -> interim(103, "Attempt-Id: " + s.headers().get("Attempt-Id") + "\r\nServer-Seal: s\r\n")
                + "HTTP/1.1 200 OK\r\n"
                + (s.headers().get("Attempt-Id").equals("t1")
                        ? "Attempt-Id: t1\r\n"
                        : "Server-Seal: s\r\nAttempt-Id: other\r\n")
                + "Content-Length: 2\r\n\r\nno");
        assertMayHaveRun(ok("/once/x", "t1"));
        assertMayHaveRun(ok("/once/x", "t2"));
        assertEquals(2, arrivals());
    }

    @Test
    void switchOfProtocolsIsNoAnswer() throws Exception {
        engineThatSays(s -> interim(101, "Attempt-Id: t1\r\nServer-Seal: s\r\nUpgrade: x\r\nConnection: upgrade\r\n"));
        assertMayHaveRun(ok("/once/x", "t1"));
    }

    /** A refusal that does not say whose it is may be a late one of another request, while this one runs. */
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
    void failureWithoutTheIdIsNobodysAnswer(String head) throws Exception {
        ScriptedEngine.Script script = (seen, out, socket) ->
                ScriptedEngine.writeText(out, "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n");
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        assertMayHaveRun(ok("/once/x", "t1"));
        assertEquals(1, arrivals(), "sent again though it may have run");
    }

    /** What stands behind a whole answer in the same read, whole itself or not. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nAttempt-Id: t0\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\ntwo",
                "HTTP/1.1 200 OK\r\nAtt",
                "x",
                "\r\n"
            })
    void connectionWithBytesBehindAnAnswerCarriesNoFurtherRequest(String surplus) throws Exception {
        Set<Socket> used = engineThatSays(s -> whole(s, "hello") + surplus);
        for (int i = 0; i < 4; i++) {
            String got = ok("/once/x", "t" + i);
            assertTrue(
                    got.startsWith("HTTP/1.1 200") && got.contains("Attempt-Id: t" + i) && got.endsWith("hello"), got);
        }
        assertEquals(4, used.size());
    }

    @Test
    void resetBetweenHeadAndBodyIsNeverSentAgain() throws Exception {
        ScriptedEngine.Script reset = (seen, out, socket) -> {
            socket.setSoLinger(true, 0);
            socket.close();
        };
        for (String id : List.of("i-1", "i-2")) {
            engine(id, "z", reset).setEarlyScript(reset);
        }
        for (int i = 0; i < 5; i++) {
            assertMayHaveRun(all(send("/once/x", "t" + i, CLOSE, "b".repeat(LARGE_BODY))));
            assertEquals(i + 1, arrivals());
        }
    }

    /** Whatever it says: no success that was not whole, one arrival, and the connection ends. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK\r\nServer-Seal: s", "503 X\r\nNot-Executed: 1"})
    void answerBeforeTheBodyIsSentEndsTheConnection(String head) throws Exception {
        ScriptedEngine e = engine("i-1", "z", (seen, out, socket) -> {
            throw new IOException("the body was read");
        });
        e.setEarlyScript((seen, out, socket) -> {
            ScriptedEngine.writeText(
                    out,
                    "HTTP/1.1 " + head + "\r\nAttempt-Id: " + seen.headers().get("Attempt-Id")
                            + "\r\nContent-Length: 1\r\n\r\n1");
            socket.setSoLinger(true, 0);
            throw new IOException("break off");
        });
        String got = all(send("/once/x", "t1", CLOSE, "b".repeat(LARGE_BODY)));
        assertTrue(got.startsWith("HTTP/1.1 50") || got.startsWith("HTTP/1.1 200") && got.endsWith("\r\n\r\n1"), got);
        assertEquals(1, arrivals());
        assertEquals("closed", e.closed.poll(10, TimeUnit.SECONDS));
    }

    @Test
    void halfClosedConnectionLosesTheAnswerAndIsClosed() throws Exception {
        ScriptedEngine e = engine("i-1", "z", (seen, out, socket) -> {
            socket.shutdownOutput();
            assertEquals(-1, socket.getInputStream().read());
        });
        engine("i-2", "z", (seen, out, socket) -> socket.shutdownOutput());
        assertMayHaveRun(ok("/once/x", "t1"));
        assertEquals(1, arrivals());
        assertEquals(1, engines.stream().filter(x -> !x.requests.isEmpty()).count());
        assertTrue(e.requests.isEmpty() || e.closed.poll(10, TimeUnit.SECONDS) != null);
    }

    /** The first engine answers only when the second has: that answer goes to nobody, and its connection is closed. */
    @Test
    void lateAnswerOfAnAttemptGivenUpReachesNobody() throws Exception {
        CountDownLatch served = new CountDownLatch(1);
        CountDownLatch said = new CountDownLatch(1);
        Set<String> silent = ConcurrentHashMap.newKeySet();
        ScriptedEngine.Script script = (seen, out, socket) -> {
            if (silent.add("once")) {
                served.await();
                try {
                    ScriptedEngine.writeText(out, whole(seen, "late"));
                } finally {
                    said.countDown();
                }
                return;
            }
            ScriptedEngine.writeText(out, whole(seen, "hello"));
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        assertTrue(ok("/card/x", "t0").endsWith("hello"));
        served.countDown();
        said.await();
        for (int i = 1; i < 9; i++) {
            String got = ok("/card/x", "t" + i);
            assertTrue(got.contains("Attempt-Id: t" + i) && got.endsWith("hello"), got);
        }
        assertEquals(10, arrivals());
    }

    @Test
    void oneTryReachesNoMoreEnginesThanItsRouteAllows() throws Exception {
        for (int i = 0; i < 5; i++) {
            engine("i-" + i, "z", (seen, out, socket) -> socket.close());
        }
        for (int i = 1; i <= 6; i++) {
            String id = "t" + i;
            String got = ok("/card/x", id);
            assertTrue(got.startsWith("HTTP/1.1 50"), got);
            long reached = engines.stream()
                    .filter(e -> e.requests.stream()
                            .anyMatch(s -> id.equals(s.headers().get("Attempt-Id"))))
                    .count();
            assertTrue(reached <= 2, id + " reached " + reached);
        }
    }

    @Test
    void nothingThatAnEngineSetsGoesOutWithTheRequestOfAnother() throws Exception {
        ScriptedEngine e =
                engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", "Set-Cookie: who=me; Path=/\r\n"));
        assertTrue(ok("/card/x", "t1").contains("Set-Cookie"));
        ok("/card/x", "t2");
        for (ScriptedEngine.ReceivedRequest seen : e.requests) {
            assertFalse(seen.headers().containsKey("Cookie"), seen.headers().toString());
        }
    }

    @Test
    void headersUpToTheLimitArePassedOn() throws Exception {
        ScriptedEngine e = engine("i-1", "z", ScriptedEngine.respondWith(200, "hello", ""));
        String prefix = "ab:1,".repeat(3000);
        String got = all(send("/once/x", "t1", CLOSE + "Prompt-Prefix: " + prefix + "cd:2\r\n", ""));
        assertTrue(got.startsWith("HTTP/1.1 200"), got);
        assertEquals(prefix + "cd:2", e.requests.take().headers().get("Prompt-Prefix"));
    }

    /** Also where the connection ends with the answer, whose end could be taken for the stream's. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void brokenStreamDoesNotLookWholeOnAConnectionThatCloses(boolean leaving) throws Exception {
        ScriptedEngine e = engine("i-1", "z", (seen, out, socket) -> {
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk("id: 1\ndata: a\n\n"));
            throw new IOException("break off");
        });
        if (leaving) {
            front.leave(Long.MAX_VALUE);
        }
        String head = "HTTP/1.1 200";
        String broken = all(send("/short/x", "t1", leaving ? "" : CLOSE, ""));
        assertTrue(broken.startsWith(head) && broken.contains("Connection: close"), broken);
        assertTrue(broken.contains("Transfer-Encoding: chunked") && !broken.endsWith("0\r\n\r\n"), broken);
        e.setScript((seen, out, socket) -> ScriptedEngine.writeText(
                out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"));
        String complete = all(send("/short/x", "t2", leaving ? "" : CLOSE, ""));
        assertTrue(complete.startsWith(head) && complete.endsWith("0\r\n\r\n"), complete);
    }

    /** Clients vanish in the middle of their streams while others, on connections just opened, read theirs to the end. */
    @Test
    void clientsThatVanishLeaveNothingToTheNext() throws Exception {
        engine("i-1", "z", (seen, out, socket) -> {
            String id = seen.headers().get("Attempt-Id");
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(seen));
            for (int i = 0; i < 40; i++) {
                ScriptedEngine.writeText(
                        out, ScriptedEngine.chunk("id: " + i + "\ndata: <" + id + ">" + ".".repeat(20_000) + "\n\n"));
            }
            ScriptedEngine.writeText(out, "0\r\n\r\n");
        });
        for (int round = 0; round < 20; round++) {
            String id = "t" + round;
            List<Socket> vanish = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                Socket s = send("/short/x", "v" + round + "-" + i, "", "");
                assertTrue(until(s, "data: <v" + round + "-" + i + ">").startsWith("HTTP/1.1 200"));
                vanish.add(s);
            }
            for (Socket s : vanish) {
                s.setSoLinger(true, 0);
                s.close();
            }
            String got = all(send("/short/x", id, CLOSE, ""));
            assertTrue(got.endsWith("0\r\n\r\n"), "the stream of " + id + " is not whole");
            assertEquals(41, got.split("<" + id + ">", -1).length, "events are missing");
            assertFalse(got.contains("<v"), "an event of another client");
        }
    }
}
