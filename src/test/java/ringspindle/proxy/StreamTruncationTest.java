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
import ringspindle.proxy.EventStreams.Ending;
import ringspindle.proxy.EventStreams.Framing;
import ringspindle.proxy.EventStreams.Received;
import ringspindle.proxy.EventStreams.Response;

/**
 * Truncates a stream at every byte of its engine's response, for every framing and every way to end the connection, and
 * compares each byte that the client receives with the expected events.
 */
@Timeout(120)
class StreamTruncationTest extends ProxyFixture {
    /** Each worker has its own service and engines, and runs one stream at a time. */
    private static final int WORKERS = 8;
    /** No time limit is to be reached here, however busy the machine is. */
    private static final int DEADLINE_MS = 30_000;

    private static final int TARGET_LATENCY_MS = 10_000;

    private static final String FIRST = "first";
    private static final String SECOND = "second";

    private final List<Worker> workers = new ArrayList<>();

    @Override
    String retrySlack() {
        return "1000000";
    }

    @Override
    int requestDeadlineMs() {
        return DEADLINE_MS;
    }

    @BeforeEach
    void startWorkers() throws IOException {
        List<String> routes = new ArrayList<>();
        List<String> services = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new Worker("s" + i));
            routes.add(routeTo("s" + i, "short", 1, false));
            routes.add(routeTo("s" + i, "long", 2, true));
            routes.add(routeTo("s" + i, "often", 5, true));
            services.add("{\"name\":\"s" + i
                    + "\",\"healthPath\":\"/health\",\"maxConnections\":100,\"warmupS\":0,\"warmupPerS\":0}");
        }
        String json = "{\"revision\":4,\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        loadBalancer.updateConfiguration(config);
        proxy.updateConfiguration(config);
    }

    private static String routeTo(String service, String kind, int attempts, boolean resumable) {
        return route(
                        service + kind,
                        "/" + service + kind + "/",
                        "streaming",
                        DEADLINE_MS,
                        TARGET_LATENCY_MS,
                        attempts,
                        resumable,
                        "")
                .replace("\"tokenGapMs\":400", "\"tokenGapMs\":" + TARGET_LATENCY_MS)
                .replace("\"service\":\"s\"", "\"service\":\"" + service + "\"");
    }

    /** A fake engine that is registered under new ids for each case, so that a failure does not affect later cases. */
    private final class Worker {
        final String service;
        final ScriptedEngine server;
        private int cases;

        Worker(String service) throws IOException {
            this.service = service;
            server = new ScriptedEngine((request, out, socket) -> {});
            engines.add(server);
        }

        /** Returns an id of constant length, so that all responses of a framing have the same length. */
        private String attemptId(int number) {
            return String.format("%s-%05d", service, number);
        }

        /** Returns a request whose responses have the same length as those of all other requests. */
        ScriptedEngine.ReceivedRequest sampleRequest() {
            return new ScriptedEngine.ReceivedRequest("", Map.of("Attempt-Id", attemptId(0)), new byte[0]);
        }

        /** Sends a request to newly registered engines with the given script, and reads the whole response. */
        String run(String kind, ScriptedEngine.Script script, String awaited, Runnable onReceived) throws IOException {
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
                loadBalancer.updateEngine(id, engine, 1, clock.nowMs());
            }
            try {
                Socket client = send("/" + service + kind + "/x", attempt, "Connection: close\r\n", "");
                return EventStreams.readAll(client, awaited, onReceived);
            } finally {
                ids.forEach(id -> loadBalancer.markDraining(id, true, clock.nowMs()));
                if (number % 100 == 0) {
                    proxy.closeIdleConnections();
                }
            }
        }
    }

    /** One case, which is run by a worker. */
    private interface WorkItem {
        void run(Worker worker, int index) throws Exception;
    }

    /** Distributes the cases among the workers and waits for all of them; reports the first few failures. */
    private void runInWorkers(int count, WorkItem work) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(WORKERS);
        List<String> failures = Collections.synchronizedList(new ArrayList<>());
        try {
            List<Future<?>> done = new ArrayList<>();
            for (int i = 0; i < WORKERS; i++) {
                int first = i;
                done.add(threads.submit(() -> {
                    for (int index = first; index < count; index += WORKERS) {
                        try {
                            work.run(workers.get(first), index);
                        } catch (AssertionError failure) {
                            failures.add(failure.getMessage());
                        }
                    }
                    return null;
                }));
            }
            for (Future<?> worker : done) {
                worker.get();
            }
        } finally {
            threads.shutdownNow();
        }
        assertTrue(
                failures.isEmpty(),
                () -> failures.size() + " of " + count + " failed, such as\n"
                        + String.join("\n", failures.subList(0, Math.min(5, failures.size()))));
    }

    /** Returns the events after the last one that a request names, or all events. */
    private static List<String> remainingEvents(ScriptedEngine.ReceivedRequest request) {
        String last = request.headers().get("Last-Event-Id");
        return last == null
                ? SentResponse.EVENTS
                : SentResponse.EVENTS.subList(Integer.parseInt(last) + 1, SentResponse.EVENTS.size());
    }

    private static String expectedWeightVersion(ScriptedEngine.ReceivedRequest request) {
        String expected = request.headers().get("Expected-Revision");
        return expected == null ? "1" : expected;
    }

    static Stream<Arguments> framingsAndEndings() {
        return Stream.of(Framing.values())
                .flatMap(framing -> Stream.of(Ending.values()).map(ending -> Arguments.of(framing, ending)));
    }

    /** The result of one stream: what the client received, the requests to engines in order, and the first response. */
    private record Outcome(Received received, List<ScriptedEngine.ReceivedRequest> requests, SentResponse first) {}

    /** Runs one stream whose first response is truncated at the given byte; all later responses are complete. */
    private Outcome runTruncated(Worker worker, String kind, Framing framing, Ending ending, int at) throws Exception {
        SentResponse sample = truncate(worker.sampleRequest(), framing, at, ending);
        // A reset discards bytes that the proxy has not read, so it waits until the client got the events sent before.
        CountDownLatch forwarded = new CountDownLatch(ending == Ending.RESET && sample.completeEvents() > 0 ? 1 : 0);
        String awaited = sample.isComplete() && framing != Framing.CLOSE_DELIMITED
                ? "0\r\n\r\n"
                : SentResponse.EVENTS.get(Math.max(0, sample.completeEvents() - 1));
        List<ScriptedEngine.ReceivedRequest> requests = Collections.synchronizedList(new ArrayList<>());
        ScriptedEngine.Script script = (request, out, socket) -> {
            requests.add(request);
            if (requests.size() > 1) {
                String head = EventStreams.head(request, SECOND, expectedWeightVersion(request));
                out.write(EventStreams.response(head, framing, remainingEvents(request))
                        .bytes());
                Ending.CLOSE.end(socket);
            }
            SentResponse first = truncate(request, framing, at, ending);
            out.write(first.response().bytes(), 0, first.truncatedAt());
            out.flush();
            forwarded.await();
            ending.end(socket);
        };
        String bytes = worker.run(kind, script, awaited, forwarded::countDown);
        return new Outcome(Received.of(bytes), List.copyOf(requests), sample);
    }

    private static SentResponse truncate(
            ScriptedEngine.ReceivedRequest request, Framing framing, int at, Ending ending) {
        return new SentResponse(
                EventStreams.response(EventStreams.head(request, FIRST, "1"), framing, SentResponse.EVENTS),
                at,
                ending);
    }

    /** Without a retry the client gets exactly the complete events, and an end only if the engine sent one. */
    private static void assertTruncationIsVisible(Outcome outcome, String context) {
        Received received = outcome.received;
        assertEquals(1, outcome.requests.size(), context + "the request was sent more than once");
        if (outcome.first.completeEvents() == 0) {
            assertEquals(502, received.status(), context);
            assertEquals(List.of(), received.seals(), context);
            return;
        }
        assertEquals(200, received.status(), context);
        assertEquals(List.of(FIRST), received.seals(), context);
        assertEquals(
                String.join("", SentResponse.EVENTS.subList(0, outcome.first.completeEvents())),
                received.body(),
                context);
        if (!outcome.first.lacksOnlyLastLine()) {
            assertEquals(outcome.first.looksComplete(), received.looksComplete(), context);
        }
    }

    /** After a visible truncation a second attempt resumes after the last complete event, as a single stream. */
    private static void assertResumed(Outcome outcome, String context) {
        Received received = outcome.received;
        int completeCount = outcome.first.completeEvents();
        boolean isSingleAttempt =
                outcome.first.looksComplete() || outcome.first.lacksOnlyLastLine() && outcome.requests.size() == 1;
        assertTrue(received.looksComplete(), context);
        assertEquals(List.of(completeCount > 0 ? FIRST : SECOND), received.seals(), context);
        // A close-delimited response that is closed after a complete event cannot be distinguished from a complete one.
        assertEquals(
                String.join("", isSingleAttempt ? SentResponse.EVENTS.subList(0, completeCount) : SentResponse.EVENTS),
                received.body(),
                context);
        assertEquals(isSingleAttempt ? 1 : 2, outcome.requests.size(), context);
        if (!isSingleAttempt) {
            Map<String, String> second = outcome.requests.get(1).headers();
            assertEquals(
                    completeCount == 0 ? null : Integer.toString(completeCount - 1),
                    second.get("Last-Event-Id"),
                    context);
            assertEquals(
                    completeCount == 0 ? null : completeCount == 1 ? "1" : "2",
                    second.get("Expected-Revision"),
                    context);
        }
    }

    @ParameterizedTest
    @MethodSource("framingsAndEndings")
    void truncationOfANonResumableStreamIsVisible(Framing framing, Ending ending) throws Exception {
        int length = truncate(workers.get(0).sampleRequest(), framing, 0, ending)
                .response()
                .bytes()
                .length;
        runInWorkers(length + 1, (worker, at) -> {
            Outcome outcome = runTruncated(worker, "short", framing, ending, at);
            assertTruncationIsVisible(outcome, framing + " " + ending + " at " + at + ": " + outcome.received + " ");
        });
    }

    @ParameterizedTest
    @MethodSource("framingsAndEndings")
    void resumableStreamIsResumedAfterEveryTruncation(Framing framing, Ending ending) throws Exception {
        int length = truncate(workers.get(0).sampleRequest(), framing, 0, ending)
                .response()
                .bytes()
                .length;
        runInWorkers(length + 1, (worker, at) -> {
            Outcome outcome = runTruncated(worker, "long", framing, ending, at);
            assertResumed(outcome, framing + " " + ending + " at " + at + ": " + outcome.received + " ");
        });
    }

    /**
     * Several responses, each truncated at a random byte in a random framing; resets are not delayed, so that events
     * that were sent may be lost. No event may be missing or duplicated, and each attempt resumes after what the client
     * has.
     */
    @Test
    void repeatedTruncationNeitherLosesNorDuplicatesEvents() throws Exception {
        runInWorkers(600, (worker, index) -> {
            Random random = new Random(index);
            List<SentResponse> responses = Collections.synchronizedList(new ArrayList<>());
            List<ScriptedEngine.ReceivedRequest> requests = Collections.synchronizedList(new ArrayList<>());
            ScriptedEngine.Script script = (request, out, socket) -> {
                Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
                Ending ending = Ending.values()[random.nextInt(Ending.values().length)];
                String head = EventStreams.head(request, "run" + responses.size(), expectedWeightVersion(request));
                Response response = EventStreams.response(head, framing, remainingEvents(request));
                int truncatedAt = random.nextInt(response.bytes().length + 1);
                responses.add(new SentResponse(response, truncatedAt, ending));
                requests.add(request);
                int firstPart = random.nextInt(truncatedAt + 1);
                out.write(response.bytes(), 0, firstPart);
                out.flush();
                out.write(response.bytes(), firstPart, truncatedAt - firstPart);
                out.flush();
                ending.end(socket);
            };
            Received received = Received.of(worker.run("often", script, SentResponse.EVENTS.get(0), () -> {}));
            assertOneStream(received, responses, requests, "seed " + index + ": " + received + " ");
        });
    }

    private static void assertOneStream(
            Received received,
            List<SentResponse> responses,
            List<ScriptedEngine.ReceivedRequest> requests,
            String context) {
        String all = String.join("", SentResponse.EVENTS);
        assertTrue(requests.size() <= 5, context);
        if (received.status() != 200) {
            assertEquals(List.of(), received.seals(), context);
            return;
        }
        assertEquals(1, received.seals().size(), context);
        assertTrue(all.startsWith(received.body()), context);
        int eventCount = SentResponse.countCompleteEvents(received.body().length());
        assertEquals(
                SentResponse.bodyLength(eventCount),
                received.body().length(),
                context + "the body ends within an event");
        int last = -1;
        for (ScriptedEngine.ReceivedRequest request : requests) {
            int resumeAfter = Integer.parseInt(request.headers().getOrDefault("Last-Event-Id", "-1"));
            assertTrue(
                    resumeAfter >= last && resumeAfter < eventCount, context + "asked to resume after " + resumeAfter);
            assertEquals(
                    resumeAfter < 0 ? null : resumeAfter == 0 ? "1" : "2",
                    request.headers().get("Expected-Revision"),
                    context);
            last = resumeAfter;
        }
        if (received.looksComplete() && eventCount < SentResponse.EVENTS.size()) {
            SentResponse end = responses.get(responses.size() - 1);
            assertTrue(
                    end.response().framing() == Framing.CLOSE_DELIMITED && end.ending() != Ending.RESET,
                    context + end.ending());
        }
        assertTrue(received.looksComplete() || requests.size() == 5, context + "aborted after " + requests.size());
    }
}
