package ringspindle.cli;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.flogger.FluentLogger;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Properties;
import java.util.concurrent.CountDownLatch;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.config.Validated;
import ringspindle.controlplane.ControlPlane;
import ringspindle.dataplane.DataPlane;

/**
 * Starts both planes on loopback, sends a configuration and an engine's beat, and sees whether a request comes
 * through. It shows that an installation works; the build uses it to learn which classes a start needs.
 */
public final class SelfTest {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int WAIT_MS = 20_000;

    private SelfTest() {}

    /** {@code SelfTest.run()} is 0 if all works. */
    public static int run() {
        Path folder = null;
        try (ServerSocket engine = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
            folder = Files.createTempDirectory("ringspindle-selftest");
            return run(folder, engine);
        } catch (Exception x) {
            LOG.atSevere().withCause(x).log("self-test fails");
            return 1;
        } finally {
            remove(folder);
        }
    }

    private static int run(Path folder, ServerSocket engine) throws Exception {
        int[] port = ports(5);
        Properties p = new Properties();
        p.putAll(Map.of(
                "node.name",
                "selftest",
                "node.ip",
                "127.0.0.1",
                "node.zone",
                "z",
                "node.region",
                "r",
                "node.bootstrap",
                "true",
                "node.data",
                folder.toString(),
                "listen.control",
                "127.0.0.1:" + port[0],
                "listen.registry",
                "127.0.0.1:" + port[1],
                "seeds",
                "127.0.0.1:" + port[0],
                "zone.z",
                "r"));
        p.putAll(Map.of(
                "listen.inner",
                String.valueOf(innerPorts()),
                "listen.frontend",
                "127.0.0.1:" + port[2],
                "listen.readiness",
                "127.0.0.1:" + port[3],
                "bound.graceS",
                "3"));
        NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(p)).value();
        CountDownLatch term = new CountDownLatch(1);
        Thread control = thread(() -> ControlPlane.run(new Settings(config), term));
        Thread data = thread(() -> DataPlane.run(new Settings(config), term));
        Thread stand = thread(() -> answer(engine));
        String base = "http://127.0.0.1:" + port[0] + "/ringspindle/";
        boolean ok = until(base + "configuration", "PUT", configuration(), 200)
                && until(base + "instances/i-1", "PUT", beat(engine.getLocalPort()), 200)
                && until("http://127.0.0.1:" + port[3] + "/ringspindle/readiness", "GET", "", 200)
                && until(
                        "http://127.0.0.1:" + port[1] + "/ringspindle/resolution?name=a&region=r&zone=z",
                        "GET",
                        "",
                        200)
                && until("http://127.0.0.1:" + port[2] + "/card/x", "POST", "hello", 200)
                && until("http://127.0.0.1:" + port[2] + "/nowhere/x", "POST", "hello", 404);
        LOG.atInfo().log(ok ? "self-test passed" : "self-test failed");
        term.countDown();
        control.join(10_000);
        data.join(10_000);
        stand.interrupt();
        return ok ? 0 : 1;
    }

    private static String configuration() {
        return "{\"revision\":1,\"routes\":[{\"name\":\"c\",\"host\":\"127.0.0.1\",\"pathPrefix\":\"/card/\",\"routeKind\":"
                + "\"idempotent\",\"deadlineMs\":3000,\"targetLatencyMs\":500,\"priority\":0,\"service\":\"s\",\"maxAttempts\":2}],"
                + "\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConnections\":10}]}";
    }

    private static String beat(int port) {
        return "{\"service\":\"s\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"z\",\"revision\":\"v1\",\"capacity\":4,"
                + "\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":1}";
    }

    private interface Work {
        void run() throws Exception;
    }

    private static Thread thread(Work w) {
        Thread t = new Thread(() -> {
            try {
                w.run();
            } catch (Exception x) {
                LOG.atFine().withCause(x).log("self-test thread ends");
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }

    /** The least an engine can be. */
    private static void answer(ServerSocket engine) throws IOException {
        while (true) {
            try (Socket s = engine.accept()) {
                BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), ISO_8859_1));
                String id = "";
                int length = 0;
                for (String h = in.readLine(); h != null && !h.isEmpty(); h = in.readLine()) {
                    String lower = h.toLowerCase(Locale.ROOT);
                    id = lower.startsWith("attempt-id:") ? h.substring(11).trim() : id;
                    length = lower.startsWith("content-length:")
                            ? Integer.parseInt(h.substring(15).trim())
                            : length;
                }
                for (int i = 0; i < length; i++) {
                    in.read();
                }
                s.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                                        + "\r\nServer-Seal: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
                                .getBytes(ISO_8859_1));
            }
        }
    }

    private static boolean until(String url, String method, String body, int status) throws InterruptedException {
        HttpClient http =
                HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
        long endNs = System.nanoTime() + WAIT_MS * 1_000_000L;
        int last = 0;
        while (System.nanoTime() < endNs) {
            try {
                HttpRequest r = HttpRequest.newBuilder(URI.create(url))
                        .timeout(Duration.ofSeconds(3))
                        .header("If-Match", "0")
                        .header("Attempt-Id", "t1")
                        .header("Deadline-Ms", "2000")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
                last = http.send(r, HttpResponse.BodyHandlers.discarding()).statusCode();
                if (last == status) {
                    return true;
                }
            } catch (IOException x) {
                last = -1;
            }
            Thread.sleep(50);
        }
        LOG.atSevere().log("self-test: %s %s gave %s, not %s", method, url, last, status);
        return false;
    }

    private static int[] ports(int n) throws IOException {
        ServerSocket[] s = new ServerSocket[n];
        int[] out = new int[n];
        for (int i = 0; i < n; i++) {
            s[i] = new ServerSocket(0);
            out[i] = s[i].getLocalPort();
        }
        for (ServerSocket x : s) {
            x.close();
        }
        return out;
    }

    /** Two free ports that follow each other. */
    private static int innerPorts() throws IOException {
        while (true) {
            try (ServerSocket a = new ServerSocket(0);
                    ServerSocket b = new ServerSocket(a.getLocalPort() + 1)) {
                return a.getLocalPort();
            } catch (IOException | IllegalArgumentException x) {
                // the neighbour is taken
            }
        }
    }

    private static void remove(Path folder) {
        if (folder == null) {
            return;
        }
        try (java.util.stream.Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException x) {
            LOG.atFine().withCause(x).log("cannot remove %s", folder);
        }
    }
}
