package ringspindle.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.proxy.EventStreams.Ending;
import ringspindle.proxy.EventStreams.Received;

/** Every way in which an engine's stream goes wrong, in every state of the request: the cells of docs/STREAMS.md. */
@Timeout(60)
class StreamFaultsTest extends ProxyFixture {
    private static final String CLOSE = "Connection: close\r\n";
    static final String END_OF_CHUNKS = "0\r\n\r\n";
    static final int LAST_ID = 9;
    private static final int MEBIBYTE = 1 << 20;

    /** What an engine sends in place of the event that is due, and how it ends. */
    private enum Fault {
        CLOSED("", "", Ending.CLOSE),
        HALF_CLOSED("", "", Ending.HALF_CLOSE),
        RESET("", "", Ending.RESET),
        CLOSED_INSIDE_EVENT("id: NEXT\ndata: <NE", "", Ending.CLOSE),
        RESET_INSIDE_EVENT("id: NEXT\ndata: <NE", "", Ending.RESET),
        ID_TOO_HIGH("id: AFTER\ndata: <AFTER>\n\n", END_OF_CHUNKS, Ending.CLOSE),
        ID_TWICE("id: BEFORE\ndata: <BEFORE>\n\n", END_OF_CHUNKS, Ending.CLOSE),
        ID_NO_NUMBER("id: x\ndata: <x>\n\n", END_OF_CHUNKS, Ending.CLOSE),
        ID_EMPTY("id:\ndata: <x>\n\n", END_OF_CHUNKS, Ending.CLOSE),
        NO_BLANK_LINE("id: NEXT\ndata: <NEXT>\n", END_OF_CHUNKS, Ending.CLOSE),
        EVENT_TOO_LONG("id: NEXT\ndata: " + "x".repeat(5 * MEBIBYTE) + "\n\n", END_OF_CHUNKS, Ending.CLOSE),
        SECOND_HEAD("", "HTTP/1.1 200 OK\r\nServer-Seal: other\r\nContent-Length: 0\r\n\r\n", Ending.CLOSE);

        private final String chunk;
        private final String behind;
        private final Ending ending;

        Fault(String chunk, String behind, Ending ending) {
            this.chunk = chunk;
            this.behind = behind;
            this.ending = ending;
        }

        /** Sends it where that event is due; a reset waits until what came before was passed on. */
        void happen(OutputStream out, Socket socket, int next, CountDownLatch passedOn) throws Exception {
            String text = chunk.replace("NEXT", Integer.toString(next))
                    .replace("AFTER", Integer.toString(next + 1))
                    .replace("BEFORE", Integer.toString(next - 1));
            ScriptedEngine.writeText(out, (text.isEmpty() ? "" : ScriptedEngine.chunk(text)) + behind);
            if (ending == Ending.RESET) {
                passedOn.await();
            }
            ending.end(socket);
        }

        /** True if it is none where nothing says which id the first event has. */
        boolean needsAnEarlierId() {
            return this == ID_TOO_HIGH || this == ID_TWICE;
        }
    }

    private final List<ScriptedEngine.ReceivedRequest> requests = Collections.synchronizedList(new ArrayList<>());

    static String event(int id) {
        return "id: " + id + "\ndata: <" + id + ">\n\n";
    }

    static String events(int from, int to) {
        StringBuilder out = new StringBuilder();
        for (int id = from; id <= to; id++) {
            out.append(event(id));
        }
        return out.toString();
    }

    private static int firstDue(ScriptedEngine.ReceivedRequest seen) {
        return Integer.parseInt(seen.headers().getOrDefault("Last-Event-Id", "-1")) + 1;
    }

    /** Two engines, of which the first that is asked sends so many events before the fault; the second is whole or not. */
    private CountDownLatch engines(int before, Fault fault, boolean secondIsWhole) throws Exception {
        CountDownLatch passedOn = new CountDownLatch(1);
        ScriptedEngine.Script script = (seen, out, socket) -> {
            requests.add(seen);
            int run = requests.size();
            int due = firstDue(seen);
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(seen).replace("seal", "seal" + run));
            if (run == 2 && secondIsWhole) {
                ScriptedEngine.writeText(out, ScriptedEngine.chunk(events(due, LAST_ID)) + END_OF_CHUNKS);
                return;
            }
            if (before > 0) {
                ScriptedEngine.writeText(out, ScriptedEngine.chunk(events(due, due + before - 1)));
            }
            fault.happen(out, socket, due + before, passedOn);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        return passedOn;
    }

    private Received answer(String path, String more, String awaited, CountDownLatch passedOn) throws Exception {
        Socket client = send(path, "t1", CLOSE + more, "");
        return Received.of(EventStreams.readAll(client, awaited, passedOn::countDown));
    }

    private static void assertBrokenBehind(int last, Received received) {
        assertEquals(200, received.status());
        assertEquals(List.of("seal1"), received.seals());
        assertEquals(events(0, last), received.body());
        assertFalse(received.looksComplete());
    }

    static Stream<Fault> faultsOfAFirstEvent() {
        return Stream.of(Fault.values()).filter(fault -> !fault.needsAnEarlierId());
    }

    @ParameterizedTest
    @MethodSource("faultsOfAFirstEvent")
    void beforeTheHeadIsOutItIsAFailure(Fault fault) throws Exception {
        CountDownLatch passedOn = engines(0, fault, true);
        passedOn.countDown();
        Received received = answer("/short/x", "", "", passedOn);
        assertEquals(502, received.status());
        assertEquals(List.of(), received.seals());
        assertEquals(1, requests.size());
    }

    @ParameterizedTest
    @MethodSource("faultsOfAFirstEvent")
    void beforeTheHeadIsOutAnotherEngineIsAskedFromTheStart(Fault fault) throws Exception {
        CountDownLatch passedOn = engines(0, fault, true);
        passedOn.countDown();
        Received received = answer("/long/x", "", "", passedOn);
        assertTrue(received.looksComplete());
        assertEquals(List.of("seal2"), received.seals());
        assertEquals(events(0, LAST_ID), received.body());
        assertNull(requests.get(1).headers().get("Last-Event-Id"));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void behindEventsItShowsWhereTheRunMayNotBeRepeated(Fault fault) throws Exception {
        CountDownLatch passedOn = engines(2, fault, true);
        assertBrokenBehind(1, answer("/short/x", "", "<1>", passedOn));
        assertEquals(1, requests.size());
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void behindEventsAnotherEngineGoesOn(Fault fault) throws Exception {
        CountDownLatch passedOn = engines(2, fault, true);
        Received received = answer("/long/x", "", "<1>", passedOn);
        assertTrue(received.looksComplete());
        assertEquals(List.of("seal1"), received.seals());
        assertEquals(events(0, LAST_ID), received.body());
        Map<String, String> second = requests.get(1).headers();
        assertEquals("1", second.get("Last-Event-Id"));
        assertEquals("1", second.get("Expected-Revision"));
    }

    /** Both runs go wrong, and the route allows two. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void inTheLastRunThatIsAllowedItShows(Fault fault) throws Exception {
        CountDownLatch passedOn = engines(2, fault, false);
        // a reset of the second run waits for nothing: what it sent may be lost, and nothing else
        Received received = answer("/long/x", "", "<1>", passedOn);
        boolean mayLose = fault.ending == Ending.RESET;
        assertBrokenBehind(mayLose && !received.body().contains("<3>") ? 1 : 3, received);
        assertEquals(2, requests.size());
    }

    /** The client itself goes on behind an event: the first id is known, and a wrong one is passed on from no engine. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void behindTheClientsOwnLastEvent(Fault fault) throws Exception {
        CountDownLatch passedOn = engines(0, fault, true);
        passedOn.countDown();
        Received received = answer("/long/x", "Last-Event-Id: 4\r\nExpected-Revision: 1\r\n", "", passedOn);
        assertTrue(received.looksComplete());
        assertEquals(List.of("seal2"), received.seals());
        assertEquals(events(5, LAST_ID), received.body());
        requests.forEach(seen -> assertEquals("4", seen.headers().get("Last-Event-Id")));
        requests.forEach(seen -> assertEquals("1", seen.headers().get("Expected-Revision")));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void behindTheClientsOwnLastEventAndFurtherOnes(Fault fault) throws Exception {
        CountDownLatch passedOn = engines(2, fault, true);
        Received received = answer("/long/x", "Last-Event-Id: 4\r\nExpected-Revision: 1\r\n", "<6>", passedOn);
        assertTrue(received.looksComplete());
        assertEquals(List.of("seal1"), received.seals());
        assertEquals(events(5, LAST_ID), received.body());
        assertEquals("6", requests.get(1).headers().get("Last-Event-Id"));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void onANodeThatIsLeaving(Fault fault) throws Exception {
        CountDownLatch passedOn = engines(2, fault, true);
        front.leave(clock.nowMs() + 60_000);
        Received received = answer("/short/x", "", "<1>", passedOn);
        assertBrokenBehind(1, received);
        assertTrue(received.head().contains("Connection: close"), received.head());
    }

    static Stream<Arguments> faultsAndRoutes() {
        return Stream.of(Fault.values())
                .flatMap(fault -> Stream.of("/short/x", "/long/x").map(path -> Arguments.of(fault, path)));
    }

    /** More than fits into all buffers on the way: the engine is far ahead, and writes to the client have to wait. */
    @ParameterizedTest
    @MethodSource("faultsAndRoutes")
    void whileTheClientIsSlowerThanTheEngine(Fault fault, String path) throws Exception {
        String filler = "x".repeat(MEBIBYTE);
        ScriptedEngine.Script script = (seen, out, socket) -> {
            requests.add(seen);
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(seen).replace("seal", "seal" + requests.size()));
            for (int id = firstDue(seen); id < 24; id++) {
                ScriptedEngine.writeText(
                        out, ScriptedEngine.chunk("id: " + id + "\ndata: <" + id + ">" + filler + "\n\n"));
            }
            if (requests.size() == 1) {
                fault.happen(out, socket, 24, new CountDownLatch(0));
            }
            ScriptedEngine.writeText(out, END_OF_CHUNKS);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        Socket client = new Socket();
        client.setReceiveBufferSize(8192);
        client.connect(new InetSocketAddress("127.0.0.1", port));
        client.setSoTimeout(20_000);
        ask(client, path, "t1", CLOSE, "");
        Received received = Received.of(EventStreams.readAll(client, "", () -> {}));
        assertEquals(List.of("seal1"), received.seals());
        String ids = received.body().replaceAll("id: (\\d+)\ndata: <\\d+>x+\n\n", "$1 ");
        StringBuilder all = new StringBuilder();
        for (int id = 0; id < 24; id++) {
            all.append(id).append(' ');
        }
        assertTrue(all.toString().startsWith(ids), ids);
        if (path.startsWith("/long/")) {
            assertEquals(all.toString(), ids);
            assertTrue(received.looksComplete());
        } else {
            // a reset takes along what the relay had not read; every other end comes behind all events
            assertTrue(fault.ending == Ending.RESET || all.toString().equals(ids), ids);
            assertFalse(received.looksComplete());
        }
    }

    /** All events came, but not the last chunk: another run sends none, and its end is the stream's. */
    @Test
    void resetBehindTheLastEventIsMadeGoodByAnEmptyRun() throws Exception {
        CountDownLatch passedOn = engines(LAST_ID + 1, Fault.RESET, true);
        Received received = answer("/long/x", "", "<" + LAST_ID + ">", passedOn);
        assertTrue(received.looksComplete());
        assertEquals(events(0, LAST_ID), received.body());
        assertEquals(Integer.toString(LAST_ID), requests.get(1).headers().get("Last-Event-Id"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/short/x", "/long/x"})
    void silenceIsGoneOnWithOrEndsAtTheDeadline(String path) throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        ScriptedEngine.Script script = (seen, out, socket) -> {
            requests.add(seen);
            int due = firstDue(seen);
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(seen));
            if (requests.size() == 1) {
                ScriptedEngine.writeText(out, ScriptedEngine.chunk(events(0, 1)));
                never.await();
            }
            ScriptedEngine.writeText(out, ScriptedEngine.chunk(events(due, LAST_ID)) + END_OF_CHUNKS);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        Received received = answer(path, "", "what never comes", never);
        boolean resumable = path.startsWith("/long/");
        assertEquals(events(0, resumable ? LAST_ID : 1), received.body());
        assertEquals(resumable, received.looksComplete());
        assertEquals(resumable ? 2 : 1, requests.size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "Content-Length: 0\r\n\r\n"})
    void headWithoutABodyIsNoStream(String rest) throws Exception {
        engine(
                "i-1",
                "z",
                (seen, out, socket) -> ScriptedEngine.writeText(out, EventStreams.head(seen, "seal", "1") + rest));
        Received received = answer("/short/x", "", "", new CountDownLatch(1));
        assertEquals(502, received.status());
        assertEquals(List.of(), received.seals());
    }

    /** What stands behind the end belongs to nobody, also where it looks like a further answer. */
    @ParameterizedTest
    @EnumSource(
            value = EventStreams.Framing.class,
            names = {"ONE_CHUNK", "CONTENT_LENGTH"})
    void bytesBehindTheEndArePassedOnToNobody(EventStreams.Framing framing) throws Exception {
        engine("i-1", "z", (seen, out, socket) -> {
            String head = EventStreams.head(seen, "seal", "1");
            byte[] whole = EventStreams.answer(head, framing, List.of(event(0), event(1)))
                    .bytes();
            out.write(whole);
            ScriptedEngine.writeText(
                    out, event(2) + EventStreams.head(seen, "other", "1") + "Content-Length: 0\r\n\r\n");
        });
        for (int i = 0; i < 3; i++) {
            Received received = Received.of(ok("/short/x", "t" + i));
            if (received.status() == 200) {
                assertEquals(List.of("seal"), received.seals());
                assertTrue(received.head().contains("Attempt-Id: t" + i), received.head());
                assertEquals(events(0, 1), received.body());
                assertTrue(received.looksComplete());
            } else {
                // the surplus came in a read of its own, when the connection carried the next request
                assertTrue(i > 0, received.head());
                assertEquals(502, received.status());
            }
        }
    }
}
