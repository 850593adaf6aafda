package ringspindle.soak;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import ringspindle.soak.SoakTopology.Node;

/** A stand-in for an engine: answers after a while with the id and body it got, and tells control nodes that it lives. */
final class SoakEngine implements AutoCloseable {
    private static final int CAPACITY = 64;
    private static final int HEARTBEAT_MS = 500;
    private static final int WORK_MIN_MS = 5;
    /** One request in so many takes long, so that nodes are stopped while it runs. */
    private static final int LONG_EVERY = 8;

    private static final int LONG_MS = 1200;
    private static final int BACKLOG = 200;
    /** An engine that fails breaks one answer in so many off, and answers one in so many with a failure. */
    private static final int FAIL_EVERY = 12;

    private static final int EVENTS = 5;
    private static final int EVENT_MS = 40;

    private final String region;
    private final boolean fails;
    private final String address;
    private final SoakHistory history;
    private final List<Node> controlNodes;
    private final Random random;
    private final SoakHttp http = new SoakHttp();
    private final HttpServer server;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private long callSeq;

    SoakEngine(SoakTopology topology, String region, SoakHistory history, long seed, boolean fails) throws IOException {
        this.region = region;
        this.fails = fails;
        this.history = history;
        controlNodes = topology.controlNodes();
        random = new Random(seed);
        address = topology.engineIp(region) + ":" + SoakTopology.ENGINE_PORT;
        server = HttpServer.create(new InetSocketAddress(topology.engineIp(region), SoakTopology.ENGINE_PORT), BACKLOG);
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
        timers.scheduleWithFixedDelay(this::heartbeat, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    private String id() {
        return "i-" + region;
    }

    private void heartbeat() {
        String state = "{\"service\":\"s\",\"address\":\"" + address + "\",\"zone\":\"z" + region
                + "\",\"revision\":\"v1\",\"capacity\":" + CAPACITY + ",\"state\":\"ready\",\"warmupLeftMs\":0,"
                + "\"callSeq\":" + ++callSeq + "}";
        try {
            for (int i = 0; i < controlNodes.size(); i++) {
                Node node = controlNodes.get((int) ((callSeq + i) % controlNodes.size()));
                var answer = http.call(
                        "PUT",
                        node.ip() + ":" + SoakTopology.CONTROL_PORT,
                        "/ringspindle/instances/" + id(),
                        Map.of(),
                        state);
                if (answer != null && answer.statusCode() / 100 == 2) {
                    return;
                }
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
        exchange.getResponseHeaders().set("Instance-Id", id());
        String attempt = exchange.getRequestHeaders().getFirst("Attempt-Id");
        String target = exchange.getRequestHeaders().getFirst("Target-Instance");
        if (exchange.getRequestURI().getPath().equals("/health")) {
            answer(exchange, 200, "");
        } else if (attempt == null) {
            answer(exchange, 400, "");
        } else if (target != null && !target.equals(id())) {
            exchange.getResponseHeaders().set("Not-Executed", "1");
            answer(exchange, 421, "");
        } else {
            String host = exchange.getRequestHeaders().getFirst("Host");
            int workMs = workMs();
            int streamMs = exchange.getRequestURI().getPath().startsWith("/stream/") ? EVENTS * EVENT_MS : 0;
            long doneNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(workMs + streamMs);
            history.add(new SoakHistory.Run(attempt, host, region, body, doneNs));
            exchange.getResponseHeaders().set("Attempt-Id", attempt);
            exchange.getResponseHeaders().set("Server-Seal", attempt);
            timers.schedule(() -> answer(exchange, body), workMs, TimeUnit.MILLISECONDS);
        }
    }

    private void answer(HttpExchange exchange, String body) {
        int chance = fails ? chance() : FAIL_EVERY;
        if (chance == 0) {
            exchange.close();
        } else if (chance == 1) {
            answer(exchange, 500, body);
        } else if (exchange.getRequestURI().getPath().startsWith("/stream/")) {
            stream(exchange, body, chance == 2 ? EVENTS / 2 : EVENTS);
        } else {
            answer(exchange, 200, body);
        }
    }

    private synchronized int chance() {
        return random.nextInt(FAIL_EVERY);
    }

    /** What a whole stream for a request holds. */
    static String events(String body) {
        StringBuilder events = new StringBuilder();
        for (int id = 1; id <= EVENTS; id++) {
            events.append(event(id, body));
        }
        return events.toString();
    }

    private static String event(int id, String body) {
        return "id: " + id + "\ndata: " + body + "\n\n";
    }

    /** Sends so many events, and cuts the stream if these are not all. */
    private void stream(HttpExchange exchange, String body, int events) {
        try {
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.getResponseHeaders().set("Weight-Versions", "1");
            exchange.sendResponseHeaders(200, events(body).getBytes(UTF_8).length);
        } catch (IOException callerGone) {
            return;
        }
        sendEvents(exchange, body, 1, events);
    }

    private void sendEvents(HttpExchange exchange, String body, int id, int last) {
        try {
            if (id <= last) {
                exchange.getResponseBody().write(event(id, body).getBytes(UTF_8));
                exchange.getResponseBody().flush();
                timers.schedule(() -> sendEvents(exchange, body, id + 1, last), EVENT_MS, TimeUnit.MILLISECONDS);
            } else {
                // with fewer bytes than announced the connection is cut
                exchange.close();
            }
        } catch (IOException callerGone) {
            // nobody waits for it any more
        }
    }

    private synchronized int workMs() {
        return WORK_MIN_MS + (random.nextInt(LONG_EVERY) == 0 ? LONG_MS : 0);
    }

    private static void answer(HttpExchange exchange, int status, String body) {
        byte[] bytes = body.getBytes(UTF_8);
        try (exchange) {
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) {
                exchange.getResponseBody().write(bytes);
            }
        } catch (IOException callerGone) {
            // nobody waits for it any more
        }
    }

    @Override
    public void close() {
        timers.shutdownNow();
        server.stop(0);
    }
}
