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

/** What may stand in a stream: long events, events without an id, changes of the weights. */
@Timeout(60)
class StreamContentTest extends ProxyFixture {
    private static final int MEBIBYTE = 1 << 20;

    private final List<ScriptedEngine.ReceivedRequest> requests = Collections.synchronizedList(new ArrayList<>());

    @Test
    void longEventIsPassedOnWhole() throws Exception {
        String longOne = "id: 0\ndata: " + "x".repeat(3 * MEBIBYTE) + "\n\n";
        engine(
                "i-1",
                "z",
                (seen, out, socket) -> ScriptedEngine.writeText(
                        out,
                        ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk(longOne + event(1)) + END_OF_CHUNKS));
        Received received = Received.of(ok("/short/x", "t1"));
        assertTrue(received.looksComplete());
        assertEquals(longOne + event(1), received.body());
    }

    @Test
    void eventsWithoutAnIdArePassedOn() throws Exception {
        String stream = ": comment\n\n" + event(0) + "data: none\n\n" + event(1);
        engine(
                "i-1",
                "z",
                (seen, out, socket) -> ScriptedEngine.writeText(
                        out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk(stream) + END_OF_CHUNKS));
        Received received = Received.of(ok("/short/x", "t1"));
        assertTrue(received.looksComplete());
        assertEquals(stream, received.body());
    }

    /** A further run could bring it again, or not: nobody can tell the engine where to go on. */
    @Test
    void streamBrokenBehindDataWithoutAnIdIsNotResumed() throws Exception {
        ScriptedEngine.Script script = (seen, out, socket) -> {
            requests.add(seen);
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk(event(0) + "data: none\n\n"));
            Ending.CLOSE.end(socket);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        Received received = Received.of(ok("/long/x", "t1"));
        assertFalse(received.looksComplete());
        assertEquals(event(0) + "data: none\n\n", received.body());
        assertEquals(1, requests.size());
    }

    /** An engine that goes on with other weights than those of the events before is no continuation. */
    @Test
    void runWithOtherWeightsIsNotJoined() throws Exception {
        ScriptedEngine.Script script = (seen, out, socket) -> {
            requests.add(seen);
            if (requests.size() == 1) {
                String change = "weight-versions: 2\nid: 1\ndata: <1>\n\n";
                ScriptedEngine.writeText(
                        out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk(event(0) + change));
                Ending.CLOSE.end(socket);
            }
            // says 1 in its head, though 2 was asked for
            ScriptedEngine.writeText(
                    out, ScriptedEngine.streamHead(seen) + ScriptedEngine.chunk(events(2, LAST_ID)) + END_OF_CHUNKS);
        };
        for (String id : List.of("i-1", "i-2")) {
            // says of no weights which it has, so that it is asked
            String address = engine(id, "z", script).address();
            picker.updateEngine(id, new Engine(8, 0, false, -1, -1, "s", address, "z", "v"), 2, clock.nowMs());
        }
        Received received = Received.of(ok("/long/x", "t1"));
        assertFalse(received.looksComplete());
        assertFalse(received.body().contains("<2>"), received.body());
        assertEquals("2", requests.get(1).headers().get("Expected-Revision"));
    }
}
