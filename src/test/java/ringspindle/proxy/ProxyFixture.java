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

/** The real edge on loopback with stand-in engines, opened for each test and closed after it. */
abstract class ProxyFixture {
    final List<ScriptedEngine> engines = new ArrayList<>();
    QueuedThreadPool pool;
    ScheduledExecutorScheduler beats;
    /** How often anything was scheduled. */
    final LongAdder scheduled = new LongAdder();

    ProxyHandler front;
    LoadBalancer picker;
    int port;
    private final MonotonicClock steady = MonotonicClock.system();
    volatile long onMs;
    /** The steady clock, put on by hand where time has to pass. */
    final MonotonicClock clock = () -> steady.nowMs() + onMs;

    @BeforeEach
    void open() throws Exception {
        pool = new QueuedThreadPool(16, 4);
        pool.setDaemon(true);
        pool.setStopTimeout(0);
        pool.start();
        beats = new ScheduledExecutorScheduler("beats", true, 1) {
            @Override
            public Task schedule(Runnable task, long delay, TimeUnit unit) {
                scheduled.increment();
                return super.schedule(task, delay, unit);
            }
        };
        beats.start();
        int ready;
        try (ServerSocket a = new ServerSocket(0);
                ServerSocket b = new ServerSocket(0)) {
            port = a.getLocalPort();
            ready = b.getLocalPort();
        }
        Properties p = new Properties();
        p.putAll(Map.of(
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
                "127.0.0.1:" + ready,
                "listen.inner",
                "1",
                "seeds",
                "127.0.0.1:1"));
        p.putAll(Map.of("zone.z", "r", "zone.far", "q", "bound.retrySlack", retrySlack(), "bound.retryRatio", "0.2"));
        NodeConfig node = ((Validated.Valid<NodeConfig>) NodeConfig.check(p)).value();
        picker = LoadBalancer.create(node);
        front = new ProxyHandler(node, picker, pool, beats, clock);
        front.open();
        config(3, "");
        front.markConfirmed();
        picker.updateLease(new Lease(1, 1, 60_000), clock.nowMs());
    }

    /** How many further arrivals at a service are allowed beyond its ratio. */
    String retrySlack() {
        return "100";
    }

    /** Puts the routes in force under that revision; more is further JSON of the configuration, from its comma on. */
    void config(long revision, String more) {
        String json = "{\"revision\":" + revision + ",\"routes\":["
                + route("card", "/card/", "idempotent", 3000, 200, 2, false, "") + ","
                + route("short", "/short/", "streaming", 3000, 800, 1, false, "") + ","
                + route("home", "/home/", "streaming", 3000, 800, 1, false, "\"q\"") + ","
                + route("once", "/once/", "mutating", 3000, 800, 2, false, "") + ","
                + route("long", "/long/", "streaming", 4000, 800, 2, true, "") + ","
                + route("batch", "/batch/", "batch", 4000, 800, 2, false, "")
                + "],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConnections\":100,\"warmupS\":0,\"warmupPerS\":0}]"
                + more + "}";
        FleetConfig c = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        picker.updateConfiguration(c);
        front.updateConfiguration(c);
    }

    static String route(
            String name, String prefix, String kind, int deadline, int aim, int most, boolean resume, String homes) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"" + prefix + "\",\"routeKind\":\""
                + kind
                + "\",\"deadlineMs\":" + deadline + ",\"targetLatencyMs\":" + aim
                + ",\"priority\":0,\"service\":\"s\",\"maxAttempts\":"
                + most + ",\"resumable\":" + resume + ",\"tokenGapMs\":400,\"homeRegions\":[" + homes + "]}";
    }

    @AfterEach
    void close() throws Exception {
        front.close();
        for (ScriptedEngine e : engines) {
            e.close();
        }
        pool.stop();
        beats.stop();
    }

    ScriptedEngine engine(String id, String zone, ScriptedEngine.Script script) throws IOException {
        ScriptedEngine e = new ScriptedEngine(script);
        engines.add(e);
        picker.updateEngine(id, new Engine(8, 0, false, -1, 1, "s", e.address(), zone, "v"), 1, clock.nowMs());
        return e;
    }

    Socket send(String path, String id, String more, String body) throws IOException {
        Socket s = new Socket("127.0.0.1", port);
        s.setSoTimeout(20_000);
        ask(s, path, id, more, body);
        return s;
    }

    static void ask(Socket s, String path, String id, String more, String body) throws IOException {
        ScriptedEngine.writeText(
                s.getOutputStream(),
                "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 2500\r\n"
                        + more + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Reads to the end of the wire. */
    static String all(Socket s) throws IOException {
        try (s) {
            return new String(s.getInputStream().readAllBytes(), ISO_8859_1);
        }
    }

    /** Reads until the text is there. */
    static String until(Socket s, String text) throws IOException {
        StringBuilder b = new StringBuilder();
        InputStream in = s.getInputStream();
        while (b.indexOf(text) < 0) {
            int c = in.read();
            if (c < 0) {
                return b + "<end>";
            }
            b.append((char) c);
        }
        return b.toString();
    }

    String ok(String path, String id) throws IOException {
        return all(send(path, id, "Connection: close\r\n", ""));
    }
}
