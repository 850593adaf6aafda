package ringspindle.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A client sees a stream as complete only if the engine's own end was seen and no event is missing or doubled. */
@Timeout(60)
class BrokenStreamTest extends ProxyFixture {
    private static final String CLOSE = "Connection: close\r\n";
    private static final String END_OF_CHUNKS = "0\r\n\r\n";
    private static final String UNFRAMED = "Connection: close\r\nContent-Type: text/event-stream\r\n\r\n";

    /** An event as engines send it. */
    private static String event(long id) {
        return "id: " + id + "\ndata: <" + id + ">\n\n";
    }

    private static String okHead(ScriptedEngine.ReceivedRequest seen) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + seen.headers().get("Attempt-Id")
                + "\r\nServer-Seal: seal\r\nWeight-Versions: 1\r\n";
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        throw new IOException("reset");
    }

    private static boolean looksComplete(String answer) {
        return answer.startsWith("HTTP/1.1 200") && answer.endsWith(END_OF_CHUNKS);
    }

    /** Sends that, waits until the relay has passed it on, and only then resets the connection. */
    private String streamResetAfter(String path, String head, String events, String last) throws Exception {
        CountDownLatch passedOn = new CountDownLatch(1);
        engine("i-1", "z", (seen, out, socket) -> {
            ScriptedEngine.writeText(out, okHead(seen) + head + events);
            passedOn.await();
            reset(socket);
        });
        Socket client = send(path, "t1", CLOSE, "");
        String begun = until(client, last);
        passedOn.countDown();
        return begun + all(client);
    }

    @Test
    void unframedStreamThatIsResetDoesNotLookComplete() throws Exception {
        String got = streamResetAfter("/short/x", UNFRAMED, event(0) + event(1), "<1>");
        assertTrue(got.contains("<0>") && got.contains("<1>"), got);
        assertFalse(looksComplete(got), got);
    }

    @Test
    void unframedStreamThatIsClosedIsComplete() throws Exception {
        engine("i-1", "z", (seen, out, socket) -> {
            ScriptedEngine.writeText(out, okHead(seen) + UNFRAMED + event(0) + event(1));
            throw new IOException("close");
        });
        String got = ok("/short/x", "t1");
        assertTrue(looksComplete(got) && got.contains("<1>"), got);
    }

    @Test
    void unframedAnswerThatIsResetIsNoSuccess() throws Exception {
        engine("i-1", "z", (seen, out, socket) -> {
            // the relay holds a plain answer back until its end, so nothing tells when it was read: large enough that
            // the reset can only come once much of it was taken
            ScriptedEngine.writeText(out, okHead(seen) + "Connection: close\r\n\r\n" + "x".repeat(8 << 20));
            reset(socket);
        });
        String got = ok("/once/x", "t1");
        assertTrue(got.startsWith("HTTP/1.1 502"), got.substring(0, Math.min(300, got.length())));
    }

    static List<String> idsThatDoNotFollow() {
        return List.of("0 2", "0 0", "0 1 0", "0 1 3 2", "5 4", "0 1 1 2", "1 2 4 5");
    }

    /** All in one read: what comes before the wrong id is passed on, and the stream is broken off there. */
    @ParameterizedTest
    @MethodSource("idsThatDoNotFollow")
    void wrongIdInsideOneReadBreaksTheStream(String ids) throws Exception {
        StringBuilder events = new StringBuilder();
        for (String id : ids.split(" ")) {
            events.append(event(Long.parseLong(id)));
        }
        engine(
                "i-1",
                "z",
                (seen, out, socket) -> ScriptedEngine.writeText(
                        out,
                        ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk(events.toString()) + END_OF_CHUNKS));
        String got = ok("/short/x", "t1");
        assertFalse(looksComplete(got), got);
        long before = -1;
        for (String id : ids.split(" ")) {
            long next = Long.parseLong(id);
            if (before >= 0 && next != before + 1) {
                break;
            }
            assertTrue(got.contains("<" + next + ">"), got);
            before = next;
        }
    }

    /** A resumable stream goes on at another engine behind the last event that followed. */
    @Test
    void wrongIdInsideOneReadIsResumedElsewhere() throws Exception {
        ScriptedEngine.Script script = (seen, out, socket) -> {
            String last = seen.headers().get("Last-Event-Id");
            String events = last == null ? event(0) + event(1) + event(3) : event(2) + event(3);
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk(events) + END_OF_CHUNKS);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        String got = ok("/long/x", "t1");
        assertTrue(looksComplete(got), got);
        assertEquals("0123", got.replaceAll("(?s)^.*?\r\n\r\n", "").replaceAll("(?s)[^<]*<(\\d+)>[^<]*", "$1"));
    }

    /** A resumed run with other weights than the stream had is not joined to it. */
    @Test
    void resumedRunWithOtherWeightsIsNotPassedOn() throws Exception {
        ScriptedEngine.Script script = (seen, out, socket) -> {
            boolean first = seen.headers().get("Last-Event-Id") == null;
            String head = ScriptedEngine.streamHead(seen);
            if (first) {
                ScriptedEngine.writeText(out, head + ScriptedEngine.chunk(event(0) + event(2)) + END_OF_CHUNKS);
            } else {
                String others = head.replace("Weight-Versions: 1", "Weight-Versions: 2");
                ScriptedEngine.writeText(out, others + ScriptedEngine.chunk(event(1)) + END_OF_CHUNKS);
            }
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        String got = ok("/long/x", "t1");
        assertTrue(got.contains("<0>"), got);
        assertFalse(got.contains("<1>") || looksComplete(got), got);
    }

    /** Behind an event without an id nobody knows where another engine would have to go on. */
    @Test
    void streamIsNotResumedBehindAnEventWithoutAnId() throws Exception {
        ScriptedEngine.Script script = (seen, out, socket) -> {
            if (seen.headers().get("Last-Event-Id") == null) {
                ScriptedEngine.writeText(
                        out,
                        ScriptedEngine.streamHead(seen)
                                + ScriptedEngine.chunk(event(0) + "data: <unnumbered>\n\n" + event(2))
                                + END_OF_CHUNKS);
            } else {
                ScriptedEngine.writeText(
                        out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk(event(1)) + END_OF_CHUNKS);
            }
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        String got = ok("/long/x", "t1");
        assertTrue(got.contains("<unnumbered>"), got);
        assertFalse(got.contains("<1>") || looksComplete(got), got);
    }
}
