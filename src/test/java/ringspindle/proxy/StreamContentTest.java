package ringspindle.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ringspindle.proxy.StreamFaultsTest.END_OF_CHUNKS;
import static ringspindle.proxy.StreamFaultsTest.LAST_ID;
import static ringspindle.proxy.StreamFaultsTest.event;
import static ringspindle.proxy.StreamFaultsTest.events;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ringspindle.protocol.Message.Engine;
import ringspindle.proxy.EventStreams.Ending;
import ringspindle.proxy.EventStreams.Received;

/** Forwarding of long events, events without an id, and changes of the weight version within a stream. */
@Timeout(60)
class StreamContentTest extends ProxyFixture {
    private static final int MEBIBYTE = 1 << 20;

    private final List<ScriptedEngine.ReceivedRequest> requests = Collections.synchronizedList(new ArrayList<>());

    @Test
    void longEventIsForwarded() throws Exception {
        String longEvent = "id: 0\ndata: " + "x".repeat(3 * MEBIBYTE) + "\n\n";
        engine(
                "i-1",
                "z",
                (request, out, socket) -> ScriptedEngine.writeText(
                        out,
                        ScriptedEngine.streamHead(request)
                                + ScriptedEngine.chunk(longEvent + event(1))
                                + END_OF_CHUNKS));
        Received received = Received.of(sendAndReadAll("/short/x", "t1"));
        assertTrue(received.looksComplete());
        assertEquals(longEvent + event(1), received.body());
    }

    @Test
    void eventsWithoutAnIdAreForwarded() throws Exception {
        String stream = ": comment\n\n" + event(0) + "data: none\n\n" + event(1);
        engine(
                "i-1",
                "z",
                (request, out, socket) -> ScriptedEngine.writeText(
                        out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk(stream) + END_OF_CHUNKS));
        Received received = Received.of(sendAndReadAll("/short/x", "t1"));
        assertTrue(received.looksComplete());
        assertEquals(stream, received.body());
    }

    /** The next engine cannot be told where to resume, so it might send the event again or skip it. */
    @Test
    void streamBrokenAfterDataWithoutAnIdIsNotResumed() throws Exception {
        ScriptedEngine.Script script = (request, out, socket) -> {
            requests.add(request);
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk(event(0) + "data: none\n\n"));
            Ending.CLOSE.end(socket);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        Received received = Received.of(sendAndReadAll("/long/x", "t1"));
        assertFalse(received.looksComplete());
        assertEquals(event(0) + "data: none\n\n", received.body());
        assertEquals(1, requests.size());
    }

    /** A response with another weight version than the previous events does not resume the stream. */
    @Test
    void responseWithOtherWeightsDoesNotResumeTheStream() throws Exception {
        ScriptedEngine.Script script = (request, out, socket) -> {
            requests.add(request);
            if (requests.size() == 1) {
                String change = "weight-versions: 2\nid: 1\ndata: <1>\n\n";
                ScriptedEngine.writeText(
                        out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk(event(0) + change));
                Ending.CLOSE.end(socket);
            }
            // The headers say version 1 although 2 was requested.
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(request) + ScriptedEngine.chunk(events(2, LAST_ID)) + END_OF_CHUNKS);
        };
        for (String id : List.of("i-1", "i-2")) {
            // The engine announces no weight version, so that it may be selected.
            String address = engine(id, "z", script).address();
            loadBalancer.updateEngine(id, new Engine(8, 0, false, -1, -1, "s", address, "z", "v"), 2, clock.nowMs());
        }
        Received received = Received.of(sendAndReadAll("/long/x", "t1"));
        assertFalse(received.looksComplete());
        assertFalse(received.body().contains("<2>"), received.body());
        assertEquals("2", requests.get(1).headers().get("Expected-Revision"));
    }
}
