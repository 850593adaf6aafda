package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;

/**
 * A sound engine: registers itself, works on so many requests at a time, answers a plain request with its body, and a request
 * for tokens with a stream of events that goes on behind Last-Event-Id.
 */
final class Engine implements AutoCloseable {
    /** A request that began to run here. */
    record Run(long atMs, String engine, String attempt, String path, String tenant, String authorization, String body) {}

    private static final int HEARTBEAT_MS = 500;
    static final int EVENTS = 4;
    /** The stream of a request whose path ends like this has an event a second, of so many characters. */
    static final String LONG = "/long";

    private static final int LONG_EVENTS = 53;
    private static final int LONG_EVENT_CHARACTERS = 10_000;
    private static final int LONG_EVENT_MS = 1000;

    private final Record record;
    private final String id;
    private final String service;
    private final String zone;
    private final String address;
    private final int capacity;
    private final int workMs;
    private final List<Fleet.Node> control;
    private final List<Run> runs;
    private final Semaphore slots;
    private final HttpServer server;
    private final Thread heartbeats = new Thread(this::beat);

    Engine(Record record, String id, String service, String zone, String ip, int capacity, int workMs, List<Fleet.Node> control, List<Run> runs)
            throws IOException {
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.capacity = capacity;
        this.workMs = workMs;
        this.control = control;
        this.runs = runs;
        address = ip + ":" + Fleet.ENGINE_PORT;
        slots = new Semaphore(capacity, true);
        server = HttpServer.create(new InetSocketAddress(ip, Fleet.ENGINE_PORT), 200);
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.start();
        heartbeats.setDaemon(true);
        heartbeats.start();
    }

    static List<Run> runs() {
        return new CopyOnWriteArrayList<>();
    }

    private void beat() {
        try {
            for (long sequence = 1; ; sequence++) {
                String state = "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                        + "\",\"revision\":\"v1\",\"capacity\":" + capacity
                        + ",\"state\":\"ready\",\"warmupLeftMs\":0,\"phase\":\"combined\",\"models\":[{\"name\":\"m\",\"revision\":1,"
                        + "\"adapters\":[]}],\"callSeq\":" + sequence + "}";
                for (int i = 0; i < control.size(); i++) {
                    Fleet.Node node = control.get((int) ((sequence + i) % control.size()));
                    if (Calls.call("PUT", node.control(), "/ringspindle/instances/" + id, Map.of(), state, 1000).taken()) {
                        break;
                    }
                }
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().toString();
            String attempt = exchange.getRequestHeaders().getFirst("Attempt-Id");
            String target = exchange.getRequestHeaders().getFirst("Target-Instance");
            exchange.getResponseHeaders().set("Instance-Id", id);
            if (path.equals("/health")) {
                exchange.sendResponseHeaders(200, -1);
            } else if (path.equals("/ringspindle/report")) {
                plain(exchange, 200, "{\"phase\":\"combined\",\"models\":[{\"name\":\"m\",\"revision\":1,\"adapters\":[]}],"
                        + "\"saturated\":false,\"callSeq\":0,\"queued\":0,\"active\":" + (capacity - slots.availablePermits())
                        + ",\"cacheUsed\":0,\"cacheCapacity\":90000,\"phases\":0}");
            } else if (attempt == null) {
                exchange.getResponseHeaders().set("Not-Executed", "1");
                plain(exchange, 400, "");
            } else if (target != null && !target.equals(id)) {
                exchange.getResponseHeaders().set("Attempt-Id", attempt);
                exchange.getResponseHeaders().set("Not-Executed", "1");
                plain(exchange, 421, "");
            } else {
                run(exchange, attempt, path, body);
            }
        }
    }

    private void run(HttpExchange exchange, String attempt, String path, String body) throws IOException {
        slots.acquireUninterruptibly();
        try {
            String tenant = exchange.getRequestHeaders().getFirst("Tenant");
            String authorization = exchange.getRequestHeaders().getFirst("Authorization");
            runs.add(new Run(record.nowMs(), id, attempt, path, tenant, authorization, body));
            record.line("engine " + id + ": runs " + attempt + " " + path + " Tenant=" + tenant + " Authorization=" + authorization);
            exchange.getResponseHeaders().set("Attempt-Id", attempt);
            exchange.getResponseHeaders().set("Server-Seal", id + "." + attempt);
            exchange.getResponseHeaders().set("Weight-Versions", "1");
            if (exchange.getRequestHeaders().getFirst("Token-Count") == null) {
                Thread.sleep(workMs);
                plain(exchange, 200, "answer to " + body);
            } else {
                boolean isLong = path.endsWith(LONG);
                stream(exchange, attempt, isLong ? LONG_EVENTS : EVENTS, isLong ? LONG_EVENT_MS : workMs / EVENTS, isLong);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        } finally {
            slots.release();
        }
    }

    /** The data of the events of a request, in order. */
    static String text(String attempt) {
        StringBuilder text = new StringBuilder();
        for (int event = 0; event < EVENTS; event++) {
            text.append(event == 0 ? "" : "\n").append("piece ").append(event).append(" of ").append(attempt);
        }
        return text.toString();
    }

    private void stream(HttpExchange exchange, String attempt, int events, int eventMs, boolean isLong)
            throws IOException, InterruptedException {
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        String more = isLong ? " " + "x".repeat(LONG_EVENT_CHARACTERS) : "";
        for (int event = last == null ? 0 : Integer.parseInt(last) + 1; event < events; event++) {
            Thread.sleep(eventMs);
            out.write(("id: " + event + "\ndata: piece " + event + " of " + attempt + more + "\n\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
        record.line("engine " + id + ": has finished " + attempt);
    }

    private static void plain(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
    }

    @Override
    public void close() {
        heartbeats.interrupt();
        server.stop(0);
    }
}
