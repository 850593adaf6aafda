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

/** Valid engine reports reach the listener; malformed responses and unknown addresses are ignored. */
@Timeout(60)
class EngineReportClientTest {
    private final BlockingQueue<String> reports = new LinkedBlockingQueue<>();
    private QueuedThreadPool pool;
    private ScheduledExecutorScheduler scheduler;

    @BeforeEach
    void open() throws Exception {
        pool = new QueuedThreadPool(8, 2);
        pool.setDaemon(true);
        pool.setStopTimeout(0);
        pool.start();
        scheduler = new ScheduledExecutorScheduler("beats", true, 1);
        scheduler.start();
    }

    @AfterEach
    void close() throws Exception {
        pool.stop();
        scheduler.stop();
    }

    /** Starts an engine that answers two requests, one response each, and then stops; returns its address. */
    private static String engine(String first, String second) throws IOException {
        ServerSocket server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(() -> {
            try (server) {
                for (String body : new String[] {first, second}) {
                    try (Socket socket = server.accept()) {
                        BufferedReader in =
                                new BufferedReader(new InputStreamReader(socket.getInputStream(), ISO_8859_1));
                        assertEquals("GET /ringspindle/report HTTP/1.1", in.readLine());
                        for (String header = in.readLine();
                                header != null && !header.isEmpty();
                                header = in.readLine()) {
                            // request headers are not checked
                        }
                        socket.getOutputStream()
                                .write(
                                        ("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
                                                        + body.length() + "\r\n\r\n" + body)
                                                .getBytes(ISO_8859_1));
                    }
                }
            } catch (IOException closed) {
                // the test has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
        return "127.0.0.1:" + server.getLocalPort();
    }

    @Test
    void validReportsAreDeliveredAndMalformedOnesIgnored() throws Exception {
        EngineReportClient client = new EngineReportClient(pool, scheduler)
                .listener((id, active, queued) -> reports.add(id + " " + active + " " + queued));
        String validReport = "{\"phase\":\"combined\",\"models\":[],\"active\":3,\"queued\":1}";
        client.request("i-1", engine("not json", validReport));
        client.request("i-0", null);
        String address = engine(validReport, "{\"active\":0,\"queued\":0}");
        client.request("i-2", address);
        assertEquals("i-2 3 1", reports.poll(30, TimeUnit.SECONDS));
        client.request("i-2", address);
        assertEquals("i-2 0 0", reports.poll(30, TimeUnit.SECONDS));
        assertTrue(reports.isEmpty());
    }
}
