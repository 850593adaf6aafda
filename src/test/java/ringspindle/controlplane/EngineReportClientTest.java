package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An engine's report tells whether it is free to swap; what is no report says nothing. */
@Timeout(60)
class EngineReportClientTest {
    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private QueuedThreadPool pool;
    private ScheduledExecutorScheduler beats;

    @BeforeEach
    void open() throws Exception {
        pool = new QueuedThreadPool(8, 2);
        pool.setDaemon(true);
        pool.setStopTimeout(0);
        pool.start();
        beats = new ScheduledExecutorScheduler("beats", true, 1);
        beats.start();
    }

    @AfterEach
    void close() throws Exception {
        pool.stop();
        beats.stop();
    }

    /** An engine that gives one answer to each call, and ends after two. */
    private static String engine(String first, String second) throws IOException {
        ServerSocket server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        Thread t = new Thread(() -> {
            try (server) {
                for (String body : new String[] {first, second}) {
                    try (Socket s = server.accept()) {
                        BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), ISO_8859_1));
                        assertEquals("GET /ringspindle/report HTTP/1.1", in.readLine());
                        for (String h = in.readLine(); h != null && !h.isEmpty(); h = in.readLine()) {
                            // the header says nothing that matters here
                        }
                        s.getOutputStream()
                                .write(
                                        ("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
                                                        + body.length() + "\r\n\r\n" + body)
                                                .getBytes(ISO_8859_1));
                    }
                }
            } catch (IOException x) {
                // the test is over
            }
        });
        t.setDaemon(true);
        t.start();
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Test
    void reportsAreReadAndRubbishIsNot() throws Exception {
        EngineReportClient r = new EngineReportClient(pool, beats)
                .listener((id, active, queued) -> heard.add(id + " " + active + " " + queued));
        String good = "{\"phase\":\"combined\",\"models\":[],\"active\":3,\"queued\":1}";
        r.request("i-1", engine("not json", good));
        r.request("i-0", null);
        String address = engine(good, "{\"active\":0,\"queued\":0}");
        r.request("i-2", address);
        assertEquals("i-2 3 1", heard.poll(30, TimeUnit.SECONDS));
        r.request("i-2", address);
        assertEquals("i-2 0 0", heard.poll(30, TimeUnit.SECONDS));
        assertTrue(heard.isEmpty());
    }
}
