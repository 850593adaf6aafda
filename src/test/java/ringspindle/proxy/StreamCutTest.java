package ringspindle.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Engine;
import ringspindle.proxy.EventStreams.Answer;
import ringspindle.proxy.EventStreams.Ending;
import ringspindle.proxy.EventStreams.Framing;
import ringspindle.proxy.EventStreams.Received;

/**
 * A stream is cut at every byte of its engine's answer, in every framing and by every kind of end. What the client gets
 * is compared byte by byte with what the rule of order allows.
 */
@Timeout(120)
class StreamCutTest extends ProxyFixture {
    /** Each lane has a service with engines of its own and plays one stream at a time. */
    private static final int LANES = 8;

    private static final String FIRST = "first";
    private static final String SECOND = "second";

    private static final List<String> EVENTS = List.of(
            "id: 0\ndata: <0>\n\n",
            "weight-versions: 2\nid: 1\ndata: <1>\n\n",
            "id: 2\r\ndata: <2>\r\n\r\n",
            "id: 3\nevent: part\ndata: <3a>\ndata: <3b>\n\n");

    private final List<Lane> lanes = new ArrayList<>();

    @Override
    String retrySlack() {
        return "1000000";
    }

    @BeforeEach
    void openLanes() throws IOException {
        List<String> routes = new ArrayList<>();
        List<String> services = new ArrayList<>();
        for (int i = 0; i < LANES; i++) {
            lanes.add(new Lane("s" + i));
            routes.add(routeTo("s" + i, "short", 1, false));
            routes.add(routeTo("s" + i, "long", 2, true));
            routes.add(routeTo("s" + i, "often", 5, true));
            services.add("{\"name\":\"s" + i
                    + "\",\"healthPath\":\"/health\",\"maxConnections\":100,\"warmupS\":0,\"warmupPerS\":0}");
        }
        String json = "{\"revision\":4,\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        picker.updateConfiguration(config);
        front.updateConfiguration(config);
    }

    private static String routeTo(String service, String kind, int attempts, boolean resumable) {
        return route(service + kind, "/" + service + kind + "/", "streaming", 30_000, 800, attempts, resumable, "")
                .replace("\"service\":\"s\"", "\"service\":\"" + service + "\"");
    }

    /** How many events stand whole in the first bytes of a body, and how long they are. */
    private static int wholeEvents(int bodyBytes) {
        int whole = 0;
        int end = 0;
        while (whole < EVENTS.size() && end + EVENTS.get(whole).length() <= bodyBytes) {
            end += EVENTS.get(whole++).length();
        }
        return whole;
    }

    private static int bodyLength(int events) {
        return String.join("", EVENTS.subList(0, events)).length();
    }

    /** One run at an engine: what it sends, and how it ends. */
    private record Run(Answer answer, int cutAt, Ending ending) {
        boolean whole() {
            return cutAt == answer.bytes().length;
        }

        int eventsPassed() {
            return wholeEvents(answer.bodyBefore()[cutAt]);
        }

        /** True if the engine ended its answer in a way that cannot be told from the end of a whole one. */
        boolean endsInOrder() {
            if (answer.framing() != Framing.UNFRAMED) {
                return whole();
            }
            // nothing but an orderly end of the connection ends it; bytes of a further event give a cut away
            return ending != Ending.RESET
                    && eventsPassed() > 0
                    && answer.bodyBefore()[cutAt] == bodyLength(eventsPassed());
        }

        /** True in the one place where the last chunk was seen, but not the empty line behind it. */
        boolean lacksOnlyTheLastLine() {
            return !whole() && answer.framing().chunked() && cutAt >= answer.lastChunkAt() && ending != Ending.RESET;
        }
    }

    /** A stand-in engine under ever new ids, so that no failure is held against the next one. */
    private final class Lane {
        final String service;
        final ScriptedEngine server;
        private int cases;

        Lane(String service) throws IOException {
            this.service = service;
            server = new ScriptedEngine((seen, out, socket) -> {});
            engines.add(server);
        }

        /** Always as long, so that every answer of a framing is. */
        private String attemptId(int number) {
            return String.format("%s-%05d", service, number);
        }

        /** A request whose answers are as long as those of all requests here. */
        ScriptedEngine.ReceivedRequest sampleHead() {
            return new ScriptedEngine.ReceivedRequest("", Map.of("Attempt-Id", attemptId(0)), new byte[0]);
        }

        /** Sends a request to fresh engines that behave like that; reads the answer whole. */
        String play(String kind, ScriptedEngine.Script script, String awaited, Runnable whenThere) throws IOException {
            int number = cases++;
            String attempt = attemptId(number);
            server.requests.clear();
            server.setScript(script);
            List<String> ids = List.of(
                    service + "-" + number + "-a",
                    service + "-" + number + "-b",
                    service + "-" + number + "-c",
                    service + "-" + number + "-d",
                    service + "-" + number + "-e");
            for (String id : ids) {
                Engine engine = new Engine(8, 0, false, -1, -1, service, server.address(), "z", "v");
                picker.updateEngine(id, engine, 1, clock.nowMs());
            }
            try {
                Socket client = send("/" + service + kind + "/x", attempt, "Connection: close\r\n", "");
                return EventStreams.readAll(client, awaited, whenThere);
            } finally {
                ids.forEach(id -> picker.markDraining(id, true, clock.nowMs()));
                if (number % 100 == 0) {
                    front.closeIdleConnections();
                }
            }
        }
    }

    /** Splits the work among the lanes and waits for all of it. */
    private interface Work {
        void run(Lane lane, int index) throws Exception;
    }

    /** Fails with the first few of all failures, not only with the first. */
    private void inLanes(int count, Work work) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(LANES);
        List<String> failures = Collections.synchronizedList(new ArrayList<>());
        try {
            List<Future<?>> done = new ArrayList<>();
            for (int i = 0; i < LANES; i++) {
                int first = i;
                done.add(threads.submit(() -> {
                    for (int index = first; index < count; index += LANES) {
                        try {
                            work.run(lanes.get(first), index);
                        } catch (AssertionError failure) {
                            failures.add(failure.getMessage());
                        }
                    }
                    return null;
                }));
            }
            for (Future<?> lane : done) {
                lane.get();
            }
        } finally {
            threads.shutdownNow();
        }
        assertTrue(
                failures.isEmpty(),
                () -> failures.size() + " of " + count + " failed, such as\n"
                        + String.join("\n", failures.subList(0, Math.min(5, failures.size()))));
    }

    /** The rest of the events behind the last one that a request names, or all of them. */
    private static List<String> rest(ScriptedEngine.ReceivedRequest seen) {
        String last = seen.headers().get("Last-Event-Id");
        return last == null ? EVENTS : EVENTS.subList(Integer.parseInt(last) + 1, EVENTS.size());
    }

    private static String weightsBefore(ScriptedEngine.ReceivedRequest seen) {
        String expected = seen.headers().get("Expected-Revision");
        return expected == null ? "1" : expected;
    }

    static Stream<Arguments> framingsAndEndings() {
        return Stream.of(Framing.values())
                .flatMap(framing -> Stream.of(Ending.values()).map(ending -> Arguments.of(framing, ending)));
    }

    /** What became of one stream: what the client got, and the requests that engines got, in order. */
    private record Outcome(Received received, List<ScriptedEngine.ReceivedRequest> requests, Run first) {}

    /** Plays one stream whose first run is cut there; every further run is whole. */
    private Outcome play(Lane lane, String kind, Framing framing, Ending ending, int at) throws Exception {
        Run sample = cut(lane.sampleHead(), framing, at, ending);
        // what a reset throws away was not read by the relay: it comes only when the client has what was sent before
        CountDownLatch passedOn = new CountDownLatch(ending == Ending.RESET && sample.eventsPassed() > 0 ? 1 : 0);
        String awaited = sample.whole() && framing != Framing.UNFRAMED
                ? "0\r\n\r\n"
                : EVENTS.get(Math.max(0, sample.eventsPassed() - 1));
        List<ScriptedEngine.ReceivedRequest> requests = Collections.synchronizedList(new ArrayList<>());
        ScriptedEngine.Script script = (seen, out, socket) -> {
            requests.add(seen);
            if (requests.size() > 1) {
                String head = EventStreams.head(seen, SECOND, weightsBefore(seen));
                out.write(EventStreams.answer(head, framing, rest(seen)).bytes());
                Ending.CLOSE.end(socket);
            }
            Run run = cut(seen, framing, at, ending);
            out.write(run.answer.bytes(), 0, run.cutAt);
            out.flush();
            passedOn.await();
            ending.end(socket);
        };
        String got = lane.play(kind, script, awaited, passedOn::countDown);
        return new Outcome(Received.of(got), List.copyOf(requests), sample);
    }

    private static Run cut(ScriptedEngine.ReceivedRequest seen, Framing framing, int at, Ending ending) {
        return new Run(EventStreams.answer(EventStreams.head(seen, FIRST, "1"), framing, EVENTS), at, ending);
    }

    /** Its one run may not be repeated: exactly the events that were whole, and an end only where the engine's was seen. */
    private static void assertCutShows(Outcome outcome, String what) {
        Received received = outcome.received;
        assertEquals(1, outcome.requests.size(), what + "sent more than once");
        if (outcome.first.eventsPassed() == 0) {
            assertEquals(502, received.status(), what);
            assertEquals(List.of(), received.seals(), what);
            return;
        }
        assertEquals(200, received.status(), what);
        assertEquals(List.of(FIRST), received.seals(), what);
        assertEquals(String.join("", EVENTS.subList(0, outcome.first.eventsPassed())), received.body(), what);
        if (!outcome.first.lacksOnlyTheLastLine()) {
            assertEquals(outcome.first.endsInOrder(), received.looksComplete(), what);
        }
    }

    /** A second run goes on behind the last whole event, if the first did not end in order, and the client sees one. */
    private static void assertGoesOn(Outcome outcome, String what) {
        Received received = outcome.received;
        int passed = outcome.first.eventsPassed();
        boolean once =
                outcome.first.endsInOrder() || outcome.first.lacksOnlyTheLastLine() && outcome.requests.size() == 1;
        assertTrue(received.looksComplete(), what);
        assertEquals(List.of(passed > 0 ? FIRST : SECOND), received.seals(), what);
        // an answer without a length that is closed in order behind an event cannot be told from a whole one
        assertEquals(String.join("", once ? EVENTS.subList(0, passed) : EVENTS), received.body(), what);
        assertEquals(once ? 1 : 2, outcome.requests.size(), what);
        if (!once) {
            Map<String, String> second = outcome.requests.get(1).headers();
            assertEquals(passed == 0 ? null : Integer.toString(passed - 1), second.get("Last-Event-Id"), what);
            assertEquals(passed == 0 ? null : passed == 1 ? "1" : "2", second.get("Expected-Revision"), what);
        }
    }

    @ParameterizedTest
    @MethodSource("framingsAndEndings")
    void streamThatMayRunOnceShowsEveryCut(Framing framing, Ending ending) throws Exception {
        int length = cut(lanes.get(0).sampleHead(), framing, 0, ending).answer.bytes().length;
        inLanes(length + 1, (lane, at) -> {
            Outcome outcome = play(lane, "short", framing, ending, at);
            assertCutShows(outcome, framing + " " + ending + " at " + at + ": " + outcome.received + " ");
        });
    }

    @ParameterizedTest
    @MethodSource("framingsAndEndings")
    void resumableStreamGoesOnAfterEveryCut(Framing framing, Ending ending) throws Exception {
        int length = cut(lanes.get(0).sampleHead(), framing, 0, ending).answer.bytes().length;
        inLanes(length + 1, (lane, at) -> {
            Outcome outcome = play(lane, "long", framing, ending, at);
            assertGoesOn(outcome, framing + " " + ending + " at " + at + ": " + outcome.received + " ");
        });
    }

    /**
     * Several runs, each cut anywhere in any framing and reset at once where it is reset, so that sent events may be lost
     * with the reset. No event is missing or doubled, and each run goes on behind what the client has.
     */
    @Test
    void manyBreaksInOneStreamLoseAndDoubleNothing() throws Exception {
        inLanes(600, (lane, index) -> {
            Random random = new Random(index);
            List<Run> runs = Collections.synchronizedList(new ArrayList<>());
            List<ScriptedEngine.ReceivedRequest> requests = Collections.synchronizedList(new ArrayList<>());
            ScriptedEngine.Script script = (seen, out, socket) -> {
                Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
                Ending ending = Ending.values()[random.nextInt(Ending.values().length)];
                String head = EventStreams.head(seen, "run" + runs.size(), weightsBefore(seen));
                Answer answer = EventStreams.answer(head, framing, rest(seen));
                int cutAt = random.nextInt(answer.bytes().length + 1);
                runs.add(new Run(answer, cutAt, ending));
                requests.add(seen);
                int half = random.nextInt(cutAt + 1);
                out.write(answer.bytes(), 0, half);
                out.flush();
                out.write(answer.bytes(), half, cutAt - half);
                out.flush();
                ending.end(socket);
            };
            Received received = Received.of(lane.play("often", script, EVENTS.get(0), () -> {}));
            assertOneStream(received, runs, requests, "seed " + index + ": " + received + " ");
        });
    }

    private static void assertOneStream(
            Received received, List<Run> runs, List<ScriptedEngine.ReceivedRequest> requests, String what) {
        String all = String.join("", EVENTS);
        assertTrue(requests.size() <= 5, what);
        if (received.status() != 200) {
            assertEquals(List.of(), received.seals(), what);
            return;
        }
        assertEquals(1, received.seals().size(), what);
        assertTrue(all.startsWith(received.body()), what);
        int got = wholeEvents(received.body().length());
        assertEquals(bodyLength(got), received.body().length(), what + "a part of an event");
        int last = -1;
        for (ScriptedEngine.ReceivedRequest request : requests) {
            int asked = Integer.parseInt(request.headers().getOrDefault("Last-Event-Id", "-1"));
            assertTrue(asked >= last && asked < got, what + "asked to go on behind " + asked);
            assertEquals(
                    asked < 0 ? null : asked == 0 ? "1" : "2", request.headers().get("Expected-Revision"), what);
            last = asked;
        }
        if (received.looksComplete() && got < EVENTS.size()) {
            Run end = runs.get(runs.size() - 1);
            assertTrue(end.answer.framing() == Framing.UNFRAMED && end.ending != Ending.RESET, what + end.ending);
        }
        assertTrue(received.looksComplete() || requests.size() == 5, what + "given up after " + requests.size());
    }
}
