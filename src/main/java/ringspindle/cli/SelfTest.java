package ringspindle.cli;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.Properties;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.config.Validated.Valid;
import ringspindle.controlplane.server.ControlPlane;
import ringspindle.dataplane.DataPlane;

/**
 * Starts both planes on loopback, sends a configuration and an engine's heartbeat, and sees whether a request comes
 * through. It shows that an installation works; the build uses it to learn which classes a start needs.
 */
public final class SelfTest {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final long RETRY_INTERVAL_MS = 50;
    private static final long SHUTDOWN_TIMEOUT_MS = 10_000;

    /** The ports that the two planes listen on; the inner one is followed by a second. */
    private record Ports(int control, int registry, int frontend, int readiness, int metrics, int inner) {
        private static final int SINGLE = 5;

        static Ports free() throws IOException {
            int[] single = new int[SINGLE];
            ServerSocket[] sockets = new ServerSocket[single.length];
            for (int i = 0; i < single.length; i++) {
                sockets[i] = new ServerSocket(0);
                single[i] = sockets[i].getLocalPort();
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
            return new Ports(single[0], single[1], single[2], single[3], single[4], adjacentPair());
        }

        /** The first of two free ports that follow each other. */
        private static int adjacentPair() throws IOException {
            while (true) {
                try (ServerSocket first = new ServerSocket(0);
                        ServerSocket second = new ServerSocket(first.getLocalPort() + 1)) {
                    return second.getLocalPort() - 1;
                } catch (IOException | IllegalArgumentException taken) {
                    // the port after it is taken or out of range: try another pair
                }
            }
        }
    }

    /** What a thread of the self-test does. */
    private interface Task {
        void run() throws Exception;
    }

    private final Ports ports;
    private final int enginePort;
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

    private SelfTest(Ports ports, int enginePort) {
        this.ports = ports;
        this.enginePort = enginePort;
    }

    /** Runs the self-test; {@link ExitCode#OK} if all works, otherwise the log says what does not. */
    public static ExitCode run() {
        Path folder = null;
        try (ServerSocket engine = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            folder = Files.createTempDirectory("ringspindle-selftest");
            boolean passed = new SelfTest(Ports.free(), engine.getLocalPort()).passes(folder, engine);
            LOG.atInfo().log(passed ? "self-test passed" : "self-test failed");
            return passed ? ExitCode.OK : ExitCode.FAILED;
        } catch (Exception failure) {
            LOG.atSevere().withCause(failure).log("self-test fails");
            return ExitCode.FAILED;
        } finally {
            delete(folder);
        }
    }

    private boolean passes(Path folder, ServerSocket engine) throws InterruptedException {
        NodeConfig config = config(properties(folder));
        NodeConfig withMetrics = config(withMetrics(properties(folder)));
        CountDownLatch terminated = new CountDownLatch(1);
        Thread control = start(() -> ControlPlane.run(new Settings(config), terminated));
        Thread data = start(() -> DataPlane.run(new Settings(withMetrics), terminated));
        Thread standIn = start(() -> SelfTestEngine.serve(engine));
        boolean passed = checksPass();
        terminated.countDown();
        control.join(SHUTDOWN_TIMEOUT_MS);
        data.join(SHUTDOWN_TIMEOUT_MS);
        standIn.interrupt();
        return passed;
    }

    private Properties properties(Path folder) {
        Properties properties = new Properties();
        properties.setProperty("node.name", "selftest");
        properties.setProperty("node.ip", LOOPBACK);
        properties.setProperty("node.zone", "z");
        properties.setProperty("node.region", "r");
        properties.setProperty("node.bootstrap", "true");
        properties.setProperty("node.data", folder.toString());
        properties.setProperty("listen.control", address(ports.control()));
        properties.setProperty("listen.registry", address(ports.registry()));
        properties.setProperty("listen.inner", String.valueOf(ports.inner()));
        properties.setProperty("listen.frontend", address(ports.frontend()));
        properties.setProperty("listen.readiness", address(ports.readiness()));
        properties.setProperty("seeds", address(ports.control()));
        properties.setProperty("zone.z", "r");
        properties.setProperty("bound.graceS", "3");
        return properties;
    }

    private Properties withMetrics(Properties properties) {
        properties.setProperty("listen.metrics", address(ports.metrics()));
        return properties;
    }

    private static NodeConfig config(Properties properties) {
        return ((Valid<NodeConfig>) NodeConfig.check(properties)).value();
    }

    private static String address(int port) {
        return LOOPBACK + ":" + port;
    }

    private boolean checksPass() throws InterruptedException {
        return gives(ports.control(), "PUT", "/ringspindle/configuration", configuration(), 200)
                && gives(ports.control(), "PUT", "/ringspindle/instances/i-1", heartbeat(), 200)
                && gives(ports.readiness(), "GET", "/ringspindle/readiness", "", 200)
                && gives(ports.registry(), "GET", "/ringspindle/resolution?name=a&region=r&zone=z", "", 200)
                && gives(ports.frontend(), "POST", "/card/x", "hello", 200)
                && gives(ports.frontend(), "POST", "/query/x", "hello", 200)
                && gives(ports.metrics(), "GET", "/metrics", "", 200)
                && gives(ports.frontend(), "POST", "/nowhere/x", "hello", 404);
    }

    private static String configuration() {
        String route =
                "{\"name\":\"%s\",\"host\":\"127.0.0.1\",\"pathPrefix\":\"/%s/\",\"routeKind\":\"%s\",\"deadlineMs\":3000,"
                        + "\"targetLatencyMs\":500,\"priority\":0,\"service\":\"s\",\"maxAttempts\":2}";
        return "{\"revision\":1,\"routes\":[" + route.formatted("card", "card", "idempotent") + ","
                + route.formatted("query", "query", "streaming")
                + "],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConnections\":10}]}";
    }

    private String heartbeat() {
        return "{\"service\":\"s\",\"address\":\"" + address(enginePort)
                + "\",\"zone\":\"z\",\"revision\":\"v1\",\"capacity\":4,"
                + "\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":1}";
    }

    private static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception failure) {
                LOG.atFine().withCause(failure).log("self-test thread ends");
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Repeats a call until it gives the status; false, after a message, if it does not in time. */
    private boolean gives(int port, String method, String path, String body, int status) throws InterruptedException {
        String url = "http://" + address(port) + path;
        long startNs = System.nanoTime();
        int lastStatus = 0;
        while (System.nanoTime() - startNs < STEP_TIMEOUT.toNanos()) {
            lastStatus = call(url, method, body);
            if (lastStatus == status) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
        }
        LOG.atSevere().log("self-test: %s %s gave %s, not %s", method, url, lastStatus, status);
        return false;
    }

    /** The status that a call gives, -1 if the connection fails. */
    private int call(String url, String method, String body) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url))
                .timeout(CALL_TIMEOUT)
                .header("If-Match", "0")
                .header("Attempt-Id", "t1")
                .header("Deadline-Ms", "2000")
                .header("Token-Count", "300,20")
                .header("Prompt-Prefix", "5c1e07a2:92,91bd3f06:208")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException unreached) {
            return -1;
        }
    }

    private static void delete(Path folder) {
        if (folder == null) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException failure) {
            LOG.atFine().withCause(failure).log("cannot remove %s", folder);
        }
    }
}
