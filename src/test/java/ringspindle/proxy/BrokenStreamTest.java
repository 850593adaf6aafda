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

/** A stream looks complete to the client only if the engine ended it and no event is missing or duplicated. */
@Timeout(60)
class BrokenStreamTest extends ProxyFixture {
    private static final String CLOSE = "Connection: close\r\n";
    private static final String END_OF_CHUNKS = "0\r\n\r\n";
    private static final String CLOSE_DELIMITED = "Connection: close\r\nContent-Type: text/event-stream\r\n\r\n";

    private static String event(long id) {
        return "id: " + id + "\ndata: <" + id + ">\n\n";
    }

    private static String okHead(ScriptedEngine.ReceivedRequest request) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.headers().get("Attempt-Id")
                + "\r\nServer-Seal: seal\r\nWeight-Versions: 1\r\n";
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        throw new IOException("reset");
    }

    private static boolean looksComplete(String response) {
        return response.startsWith("HTTP/1.1 200") && response.endsWith(END_OF_CHUNKS);
    }

    /** Sends the events, and resets the connection only after the proxy has forwarded them. */
    private String streamResetAfter(String path, String head, String events, String lastEvent) throws Exception {
        CountDownLatch forwarded = new CountDownLatch(1);
        engine("i-1", "z", (request, out, socket) -> {
            ScriptedEngine.writeText(out, okHead(request) + head + events);
            forwarded.await();
            reset(socket);
        });
        Socket client = send(path, "t1", CLOSE, "");
        String start = readUntil(client, lastEvent);
        forwarded.countDown();
        return start + readAll(client);
    }

    @Test
    void closeDelimitedStreamThatIsResetDoesNotLookComplete() throws Exception {
        String response = streamResetAfter("/short/x", CLOSE_DELIMITED, event(0) + event(1), "<1>");
        assertTrue(response.contains("<0>") && response.contains("<1>"), response);
        assertFalse(looksComplete(response), response);
    }

    @Test
    void closeDelimitedStreamThatIsClosedIsComplete() throws Exception {
        engine("i-1", "z", (request, out, socket) -> {
            ScriptedEngine.writeText(out, okHead(request) + CLOSE_DELIMITED + event(0) + event(1));
            throw new IOException("close");
        });
        String response = sendAndReadAll("/short/x", "t1");
        assertTrue(looksComplete(response) && response.contains("<1>"), response);
    }

    @Test
    void closeDelimitedResponseThatIsResetIsNoSuccess() throws Exception {
        engine("i-1", "z", (request, out, socket) -> {
            // The proxy buffers a response that is no stream, so the test cannot see when it was read. The body is so
            // large that the reset can only arrive after much of it was read.
            ScriptedEngine.writeText(out, okHead(request) + "Connection: close\r\n\r\n" + "x".repeat(8 << 20));
            reset(socket);
        });
        String response = sendAndReadAll("/once/x", "t1");
        assertTrue(response.startsWith("HTTP/1.1 502"), response.substring(0, Math.min(300, response.length())));
    }

    static List<String> idsThatDoNotFollow() {
        return List.of("0 2", "0 0", "0 1 0", "0 1 3 2", "5 4", "0 1 1 2", "1 2 4 5");
    }

    /** All events arrive in one read: those before the wrong id are forwarded, and the stream is aborted there. */
    @ParameterizedTest
    @MethodSource("idsThatDoNotFollow")
    void wrongIdWithinOneReadAbortsTheStream(String ids) throws Exception {
        StringBuilder events = new StringBuilder();
        for (String id : ids.split(" ")) {
            events.append(event(Long.parseLong(id)));
        }
        engine(
                "i-1",
                "z",
                (request, out, socket) -> ScriptedEngine.writeText(
                        out,
                        ScriptedEngine.streamHead(request) + ScriptedEngine.chunk(events.toString()) + END_OF_CHUNKS));
        String response = sendAndReadAll("/short/x", "t1");
        assertFalse(looksComplete(response), response);
        long previous = -1;
        for (String idText : ids.split(" ")) {
            long id = Long.parseLong(idText);
            if (previous >= 0 && id != previous + 1) {
                break;
            }
            assertTrue(response.contains("<" + id + ">"), response);
            previous = id;
        }
    }

    /** A resumable stream continues at another engine after the last event in sequence. */
    @Test
    void wrongIdWithinOneReadIsResumedAtAnotherEngine() throws Exception {
        ScriptedEngine.Script script = (request, out, socket) -> {
            String lastEvent = request.headers().get("Last-Event-Id");
            String events = lastEvent == null ? event(0) + event(1) + event(3) : event(2) + event(3);
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk(events) + END_OF_CHUNKS);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        String response = sendAndReadAll("/long/x", "t1");
        assertTrue(looksComplete(response), response);
        assertEquals("0123", response.replaceAll("(?s)^.*?\r\n\r\n", "").replaceAll("(?s)[^<]*<(\\d+)>[^<]*", "$1"));
    }

    /** A resumed response with another weight version than the stream's is not appended to it. */
    @Test
    void resumedResponseWithOtherWeightsIsNotForwarded() throws Exception {
        ScriptedEngine.Script script = (request, out, socket) -> {
            boolean first = request.headers().get("Last-Event-Id") == null;
            String head = ScriptedEngine.streamHead(request);
            if (first) {
                ScriptedEngine.writeText(out, head + ScriptedEngine.chunk(event(0) + event(2)) + END_OF_CHUNKS);
            } else {
                String otherWeights = head.replace("Weight-Versions: 1", "Weight-Versions: 2");
                ScriptedEngine.writeText(out, otherWeights + ScriptedEngine.chunk(event(1)) + END_OF_CHUNKS);
            }
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        String response = sendAndReadAll("/long/x", "t1");
        assertTrue(response.contains("<0>"), response);
        assertFalse(response.contains("<1>") || looksComplete(response), response);
    }

    /** After an event without an id it is unknown where another engine would have to resume. */
    @Test
    void streamIsNotResumedAfterAnEventWithoutAnId() throws Exception {
        ScriptedEngine.Script script = (request, out, socket) -> {
            if (request.headers().get("Last-Event-Id") == null) {
                ScriptedEngine.writeText(
                        out,
                        ScriptedEngine.streamHead(request)
                                + ScriptedEngine.chunk(event(0) + "data: <unnumbered>\n\n" + event(2))
                                + END_OF_CHUNKS);
            } else {
                ScriptedEngine.writeText(
                        out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk(event(1)) + END_OF_CHUNKS);
            }
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        String response = sendAndReadAll("/long/x", "t1");
        assertTrue(response.contains("<unnumbered>"), response);
        assertFalse(response.contains("<1>") || looksComplete(response), response);
    }
}
