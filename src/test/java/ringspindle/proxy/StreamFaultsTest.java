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

/** Every fault of an engine's stream in every state of the request: the cells of the table in docs/STREAMS.md. */
@Timeout(60)
class StreamFaultsTest extends ProxyFixture {
    private static final String CLOSE = "Connection: close\r\n";
    static final String END_OF_CHUNKS = "0\r\n\r\n";
    static final int LAST_ID = 9;
    private static final int MEBIBYTE = 1 << 20;

    /** What an engine sends instead of the next event, and how the connection ends. */
    private enum Fault {
        CLOSED("", "", Ending.CLOSE),
        HALF_CLOSED("", "", Ending.HALF_CLOSE),
        RESET("", "", Ending.RESET),
        CLOSED_INSIDE_EVENT("id: NEXT\ndata: <NE", "", Ending.CLOSE),
        RESET_INSIDE_EVENT("id: NEXT\ndata: <NE", "", Ending.RESET),
        ID_GAP("id: AFTER\ndata: <AFTER>\n\n", END_OF_CHUNKS, Ending.CLOSE),
        ID_DUPLICATE("id: BEFORE\ndata: <BEFORE>\n\n", END_OF_CHUNKS, Ending.CLOSE),
        ID_NOT_A_NUMBER("id: x\ndata: <x>\n\n", END_OF_CHUNKS, Ending.CLOSE),
        ID_EMPTY("id:\ndata: <x>\n\n", END_OF_CHUNKS, Ending.CLOSE),
        NO_BLANK_LINE("id: NEXT\ndata: <NEXT>\n", END_OF_CHUNKS, Ending.CLOSE),
        EVENT_TOO_LONG("id: NEXT\ndata: " + "x".repeat(5 * MEBIBYTE) + "\n\n", END_OF_CHUNKS, Ending.CLOSE),
        SECOND_HEAD("", "HTTP/1.1 200 OK\r\nServer-Seal: other\r\nContent-Length: 0\r\n\r\n", Ending.CLOSE);

        private final String chunk;
        private final String afterChunk;
        private final Ending ending;

        Fault(String chunk, String afterChunk, Ending ending) {
            this.chunk = chunk;
            this.afterChunk = afterChunk;
            this.ending = ending;
        }

        /** Sends the fault instead of event {@code next}; a reset waits until the earlier events were forwarded. */
        void inject(OutputStream out, Socket socket, int next, CountDownLatch forwarded) throws Exception {
            String text = chunk.replace("NEXT", Integer.toString(next))
                    .replace("AFTER", Integer.toString(next + 1))
                    .replace("BEFORE", Integer.toString(next - 1));
            ScriptedEngine.writeText(out, (text.isEmpty() ? "" : ScriptedEngine.chunk(text)) + afterChunk);
            if (ending == Ending.RESET) {
                forwarded.await();
            }
            ending.end(socket);
        }

        /** Returns true if it is only a fault after an earlier id, because the first id of a stream may be any. */
        boolean needsEarlierId() {
            return this == ID_GAP || this == ID_DUPLICATE;
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

    private static int nextId(ScriptedEngine.ReceivedRequest request) {
        return Integer.parseInt(request.headers().getOrDefault("Last-Event-Id", "-1")) + 1;
    }

    /**
     * Starts two engines. The first to get the request sends {@code before} events and then the fault; so does the
     * second one unless it completes the stream.
     */
    private CountDownLatch startEngines(int before, Fault fault, boolean secondCompletes) throws Exception {
        CountDownLatch forwarded = new CountDownLatch(1);
        ScriptedEngine.Script script = (request, out, socket) -> {
            requests.add(request);
            int attempt = requests.size();
            int next = nextId(request);
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(request).replace("seal", "seal" + attempt));
            if (attempt == 2 && secondCompletes) {
                ScriptedEngine.writeText(out, ScriptedEngine.chunk(events(next, LAST_ID)) + END_OF_CHUNKS);
                return;
            }
            if (before > 0) {
                ScriptedEngine.writeText(out, ScriptedEngine.chunk(events(next, next + before - 1)));
            }
            fault.inject(out, socket, next + before, forwarded);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        return forwarded;
    }

    private Received sendRequest(String path, String moreHeaders, String awaited, CountDownLatch forwarded)
            throws Exception {
        Socket client = send(path, "t1", CLOSE + moreHeaders, "");
        return Received.of(EventStreams.readAll(client, awaited, forwarded::countDown));
    }

    private static void assertAbortedAfter(int lastId, Received received) {
        assertEquals(200, received.status());
        assertEquals(List.of("seal1"), received.seals());
        assertEquals(events(0, lastId), received.body());
        assertFalse(received.looksComplete());
    }

    static Stream<Fault> faultsOfAFirstEvent() {
        return Stream.of(Fault.values()).filter(fault -> !fault.needsEarlierId());
    }

    @ParameterizedTest
    @MethodSource("faultsOfAFirstEvent")
    void faultBeforeTheFirstEventIsAFailure(Fault fault) throws Exception {
        CountDownLatch forwarded = startEngines(0, fault, true);
        forwarded.countDown();
        Received received = sendRequest("/short/x", "", "", forwarded);
        assertEquals(502, received.status());
        assertEquals(List.of(), received.seals());
        assertEquals(1, requests.size());
    }

    @ParameterizedTest
    @MethodSource("faultsOfAFirstEvent")
    void faultBeforeTheFirstEventIsRetriedFromTheStart(Fault fault) throws Exception {
        CountDownLatch forwarded = startEngines(0, fault, true);
        forwarded.countDown();
        Received received = sendRequest("/long/x", "", "", forwarded);
        assertTrue(received.looksComplete());
        assertEquals(List.of("seal2"), received.seals());
        assertEquals(events(0, LAST_ID), received.body());
        assertNull(requests.get(1).headers().get("Last-Event-Id"));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void faultAfterEventsAbortsANonResumableStream(Fault fault) throws Exception {
        CountDownLatch forwarded = startEngines(2, fault, true);
        assertAbortedAfter(1, sendRequest("/short/x", "", "<1>", forwarded));
        assertEquals(1, requests.size());
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void faultAfterEventsIsResumedAtAnotherEngine(Fault fault) throws Exception {
        CountDownLatch forwarded = startEngines(2, fault, true);
        Received received = sendRequest("/long/x", "", "<1>", forwarded);
        assertTrue(received.looksComplete());
        assertEquals(List.of("seal1"), received.seals());
        assertEquals(events(0, LAST_ID), received.body());
        Map<String, String> second = requests.get(1).headers();
        assertEquals("1", second.get("Last-Event-Id"));
        assertEquals("1", second.get("Expected-Revision"));
    }

    /** Both attempts fail, and the route allows two. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void faultInTheLastAllowedAttemptAbortsTheStream(Fault fault) throws Exception {
        CountDownLatch forwarded = startEngines(2, fault, false);
        // A reset of the second attempt is not delayed, so only the events of that attempt may be lost.
        Received received = sendRequest("/long/x", "", "<1>", forwarded);
        boolean mayLoseEvents = fault.ending == Ending.RESET;
        assertAbortedAfter(mayLoseEvents && !received.body().contains("<3>") ? 1 : 3, received);
        assertEquals(2, requests.size());
    }

    /** The client resumes after an event: the next id is known, and no engine's wrong id is forwarded. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void faultAfterTheClientsLastEvent(Fault fault) throws Exception {
        CountDownLatch forwarded = startEngines(0, fault, true);
        forwarded.countDown();
        Received received = sendRequest("/long/x", "Last-Event-Id: 4\r\nExpected-Revision: 1\r\n", "", forwarded);
        assertTrue(received.looksComplete());
        assertEquals(List.of("seal2"), received.seals());
        assertEquals(events(5, LAST_ID), received.body());
        requests.forEach(request -> assertEquals("4", request.headers().get("Last-Event-Id")));
        requests.forEach(request -> assertEquals("1", request.headers().get("Expected-Revision")));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void faultAfterTheClientsLastEventAndFurtherOnes(Fault fault) throws Exception {
        CountDownLatch forwarded = startEngines(2, fault, true);
        Received received = sendRequest("/long/x", "Last-Event-Id: 4\r\nExpected-Revision: 1\r\n", "<6>", forwarded);
        assertTrue(received.looksComplete());
        assertEquals(List.of("seal1"), received.seals());
        assertEquals(events(5, LAST_ID), received.body());
        assertEquals("6", requests.get(1).headers().get("Last-Event-Id"));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void faultOnAStoppingNode(Fault fault) throws Exception {
        CountDownLatch forwarded = startEngines(2, fault, true);
        proxy.beginShutdown(clock.nowMs() + 60_000);
        Received received = sendRequest("/short/x", "", "<1>", forwarded);
        assertAbortedAfter(1, received);
        assertTrue(received.head().contains("Connection: close"), received.head());
    }

    static Stream<Arguments> faultsAndRoutes() {
        return Stream.of(Fault.values())
                .flatMap(fault -> Stream.of("/short/x", "/long/x").map(path -> Arguments.of(fault, path)));
    }

    /** Sends more than fits into all buffers: the engine is far ahead, and writes to the client are pending. */
    @ParameterizedTest
    @MethodSource("faultsAndRoutes")
    void faultWhileTheClientIsSlowerThanTheEngine(Fault fault, String path) throws Exception {
        String filler = "x".repeat(MEBIBYTE);
        ScriptedEngine.Script script = (request, out, socket) -> {
            requests.add(request);
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(request).replace("seal", "seal" + requests.size()));
            for (int id = nextId(request); id < 24; id++) {
                ScriptedEngine.writeText(
                        out, ScriptedEngine.chunk("id: " + id + "\ndata: <" + id + ">" + filler + "\n\n"));
            }
            if (requests.size() == 1) {
                fault.inject(out, socket, 24, new CountDownLatch(0));
            }
            ScriptedEngine.writeText(out, END_OF_CHUNKS);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        Socket client = new Socket();
        client.setReceiveBufferSize(8192);
        client.connect(new InetSocketAddress("127.0.0.1", port));
        client.setSoTimeout(20_000);
        writeRequest(client, path, "t1", CLOSE, "");
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
            // A reset discards what the proxy had not read; any other end is only seen after all events.
            assertTrue(fault.ending == Ending.RESET || all.toString().equals(ids), ids);
            assertFalse(received.looksComplete());
        }
    }

    /** All events arrived but not the last chunk: another attempt sends no events, and its end completes the stream. */
    @Test
    void resetAfterTheLastEventIsRepairedByAnEmptyAttempt() throws Exception {
        CountDownLatch forwarded = startEngines(LAST_ID + 1, Fault.RESET, true);
        Received received = sendRequest("/long/x", "", "<" + LAST_ID + ">", forwarded);
        assertTrue(received.looksComplete());
        assertEquals(events(0, LAST_ID), received.body());
        assertEquals(Integer.toString(LAST_ID), requests.get(1).headers().get("Last-Event-Id"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/short/x", "/long/x"})
    void silentStreamIsResumedOrEndsAtTheDeadline(String path) throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        ScriptedEngine.Script script = (request, out, socket) -> {
            requests.add(request);
            int next = nextId(request);
            ScriptedEngine.writeText(out, ScriptedEngine.streamHead(request));
            if (requests.size() == 1) {
                ScriptedEngine.writeText(out, ScriptedEngine.chunk(events(0, 1)));
                testEnd.await();
            }
            ScriptedEngine.writeText(out, ScriptedEngine.chunk(events(next, LAST_ID)) + END_OF_CHUNKS);
        };
        engine("i-1", "z", script);
        engine("i-2", "z", script);
        Received received = sendRequest(path, "", "what never comes", testEnd);
        boolean resumable = path.startsWith("/long/");
        assertEquals(events(0, resumable ? LAST_ID : 1), received.body());
        assertEquals(resumable, received.looksComplete());
        assertEquals(resumable ? 2 : 1, requests.size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "Content-Length: 0\r\n\r\n"})
    void responseWithoutABodyIsNoStream(String rest) throws Exception {
        engine(
                "i-1",
                "z",
                (request, out, socket) ->
                        ScriptedEngine.writeText(out, EventStreams.head(request, "seal", "1") + rest));
        Received received = sendRequest("/short/x", "", "", new CountDownLatch(1));
        assertEquals(502, received.status());
        assertEquals(List.of(), received.seals());
    }

    /** Bytes after the end are dropped, even if they look like another response. */
    @ParameterizedTest
    @EnumSource(
            value = EventStreams.Framing.class,
            names = {"ONE_CHUNK", "CONTENT_LENGTH"})
    void bytesAfterTheEndAreNotForwarded(EventStreams.Framing framing) throws Exception {
        engine("i-1", "z", (request, out, socket) -> {
            String head = EventStreams.head(request, "seal", "1");
            byte[] response = EventStreams.response(head, framing, List.of(event(0), event(1)))
                    .bytes();
            out.write(response);
            ScriptedEngine.writeText(
                    out, event(2) + EventStreams.head(request, "other", "1") + "Content-Length: 0\r\n\r\n");
        });
        for (int i = 0; i < 3; i++) {
            Received received = Received.of(sendAndReadAll("/short/x", "t" + i));
            if (received.status() == 200) {
                assertEquals(List.of("seal"), received.seals());
                assertTrue(received.head().contains("Attempt-Id: t" + i), received.head());
                assertEquals(events(0, 1), received.body());
                assertTrue(received.looksComplete());
            } else {
                // The surplus arrived in a separate read, when the connection carried the next request.
                assertTrue(i > 0, received.head());
                assertEquals(502, received.status());
            }
        }
    }
}
