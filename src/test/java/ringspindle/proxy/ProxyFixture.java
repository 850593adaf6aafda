package ringspindle.proxy;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Lease;
import ringspindle.time.MonotonicClock;

/** Runs a proxy on loopback with scripted engines; opened before and closed after each test. */
abstract class ProxyFixture {
    final List<ScriptedEngine> engines = new ArrayList<>();
    QueuedThreadPool pool;
    ScheduledExecutorScheduler scheduler;
    /** Number of tasks that were scheduled. */
    final LongAdder scheduledTasks = new LongAdder();

    ProxyHandler proxy;
    LoadBalancer loadBalancer;
    int port;
    private final MonotonicClock systemClock = MonotonicClock.system();
    private static final int DEFAULT_DEADLINE_MS = 2500;

    volatile long clockOffsetMs;
    /** The system's monotonic clock plus an offset by which tests let time pass. */
    final MonotonicClock clock = () -> systemClock.nowMs() + clockOffsetMs;

    @BeforeEach
    void open() throws Exception {
        pool = new QueuedThreadPool(16, 4);
        pool.setDaemon(true);
        pool.setStopTimeout(0);
        pool.start();
        scheduler = new ScheduledExecutorScheduler("beats", true, 1) {
            @Override
            public Task schedule(Runnable task, long delay, TimeUnit unit) {
                scheduledTasks.increment();
                return super.schedule(task, delay, unit);
            }
        };
        scheduler.start();
        int readinessPort;
        try (ServerSocket first = new ServerSocket(0);
                ServerSocket second = new ServerSocket(0)) {
            port = first.getLocalPort();
            readinessPort = second.getLocalPort();
        }
        Properties properties = new Properties();
        properties.putAll(Map.of(
                "node.name",
                "f",
                "node.ip",
                "127.0.0.1",
                "node.zone",
                "z",
                "node.region",
                "r",
                "listen.frontend",
                "127.0.0.1:" + port,
                "listen.readiness",
                "127.0.0.1:" + readinessPort,
                "listen.inner",
                "1",
                "seeds",
                "127.0.0.1:1"));
        properties.putAll(
                Map.of("zone.z", "r", "zone.far", "q", "bound.retrySlack", retrySlack(), "bound.retryRatio", "0.2"));
        NodeConfig node = ((Validated.Valid<NodeConfig>) NodeConfig.check(properties)).value();
        loadBalancer = LoadBalancer.create(node);
        proxy = new ProxyHandler(node, loadBalancer, pool, scheduler, clock);
        proxy.open();
        applyConfiguration(3, "");
        proxy.markConfirmed();
        loadBalancer.updateLease(new Lease(1, 1, 60_000), clock.nowMs());
    }

    /** Value of the setting {@code bound.retrySlack}: retries allowed in addition to the retry ratio. */
    String retrySlack() {
        return "100";
    }

    /** Applies the test routes as the given revision; {@code moreMembers} is further JSON with a leading comma. */
    void applyConfiguration(long revision, String moreMembers) {
        String json = "{\"revision\":" + revision + ",\"routes\":["
                + route("card", "/card/", "idempotent", 3000, 200, 2, false, "") + ","
                + route("short", "/short/", "streaming", 3000, 800, 1, false, "") + ","
                + route("home", "/home/", "streaming", 3000, 800, 1, false, "\"q\"") + ","
                + route("once", "/once/", "mutating", 3000, 800, 2, false, "") + ","
                + route("long", "/long/", "streaming", 4000, 800, 2, true, "") + ","
                + route("batch", "/batch/", "batch", 4000, 800, 2, false, "")
                + "],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConnections\":100,\"warmupS\":0,\"warmupPerS\":0}]"
                + moreMembers + "}";
        FleetConfig configuration = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        loadBalancer.updateConfiguration(configuration);
        proxy.updateConfiguration(configuration);
    }

    static String route(
            String name,
            String prefix,
            String kind,
            int deadlineMs,
            int targetLatencyMs,
            int maxAttempts,
            boolean resumable,
            String homeRegions) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"" + prefix + "\",\"routeKind\":\""
                + kind
                + "\",\"deadlineMs\":" + deadlineMs + ",\"targetLatencyMs\":" + targetLatencyMs
                + ",\"priority\":0,\"service\":\"s\",\"maxAttempts\":"
                + maxAttempts + ",\"resumable\":" + resumable + ",\"tokenGapMs\":400,\"homeRegions\":[" + homeRegions
                + "]}";
    }

    @AfterEach
    void close() throws Exception {
        proxy.close();
        for (ScriptedEngine engine : engines) {
            engine.close();
        }
        pool.stop();
        scheduler.stop();
    }

    ScriptedEngine engine(String id, String zone, ScriptedEngine.Script script) throws IOException {
        ScriptedEngine engine = new ScriptedEngine(script);
        engines.add(engine);
        loadBalancer.updateEngine(
                id, new Engine(8, 0, false, -1, 1, "s", engine.address(), zone, "v"), 1, clock.nowMs());
        return engine;
    }

    Socket send(String path, String id, String moreHeaders, String body) throws IOException {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(20_000);
        writeRequest(client, path, id, requestDeadlineMs(), moreHeaders, body);
        return client;
    }

    /** The deadline that requests state; a test in which no deadline is to pass on a busy machine states a longer one. */
    int requestDeadlineMs() {
        return DEFAULT_DEADLINE_MS;
    }

    static void writeRequest(Socket client, String path, String id, String moreHeaders, String body)
            throws IOException {
        writeRequest(client, path, id, DEFAULT_DEADLINE_MS, moreHeaders, body);
    }

    private static void writeRequest(
            Socket client, String path, String id, int deadlineMs, String moreHeaders, String body) throws IOException {
        ScriptedEngine.writeText(
                client.getOutputStream(),
                "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + deadlineMs
                        + "\r\n" + moreHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Reads until the connection is closed. */
    static String readAll(Socket client) throws IOException {
        try (client) {
            return new String(client.getInputStream().readAllBytes(), ISO_8859_1);
        }
    }

    /** Reads until the text was received. */
    static String readUntil(Socket client, String text) throws IOException {
        StringBuilder received = new StringBuilder();
        InputStream in = client.getInputStream();
        while (received.indexOf(text) < 0) {
            int next = in.read();
            if (next < 0) {
                return received + "<end>";
            }
            received.append((char) next);
        }
        return received.toString();
    }

    String sendAndReadAll(String path, String id) throws IOException {
        return readAll(send(path, id, "Connection: close\r\n", ""));
    }
}
