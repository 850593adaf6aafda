package ringspindle.proxy;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A stand-in engine on loopback that does what its script says, and keeps what it was sent. */
final class ScriptedEngine implements AutoCloseable {
    /** One request as it came. */
    record ReceivedRequest(String requestLine, Map<String, String> headers, byte[] body) {}

    /** What a script may do with one request. */
    interface Script {
        void run(ReceivedRequest request, OutputStream out, Socket socket) throws Exception;
    }

    final ServerSocket server;
    final BlockingQueue<ReceivedRequest> requests = new LinkedBlockingQueue<>();
    /** Gets a token when a wire ends from the other side. */
    final BlockingQueue<String> closed = new LinkedBlockingQueue<>();

    private volatile Script script;
    private volatile Script earlyScript;

    ScriptedEngine(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread t = new Thread(this::accept);
        t.setDaemon(true);
        t.start();
    }

    void setScript(Script newScript) {
        script = newScript;
    }

    /** Runs that as soon as a head is read, before the body is. */
    void setEarlyScript(Script newScript) {
        earlyScript = newScript;
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket s = server.accept();
                Thread t = new Thread(() -> serve(s));
                t.setDaemon(true);
                t.start();
            }
        } catch (IOException x) {
            // closed
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                String line = line(in);
                if (line == null) {
                    break;
                }
                Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
                for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                    int colon = h.indexOf(':');
                    headers.put(h.substring(0, colon), h.substring(colon + 1).trim());
                }
                Script beforeBody = earlyScript;
                if (beforeBody != null) {
                    ReceivedRequest head = new ReceivedRequest(line, headers, new byte[0]);
                    requests.add(head);
                    beforeBody.run(head, s.getOutputStream(), s);
                }
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
                ReceivedRequest x = new ReceivedRequest(line, headers, body);
                requests.add(x);
                script.run(x, s.getOutputStream(), s);
                s.getOutputStream().flush();
            }
        } catch (Exception x) {
            // the script broke it off, or the other side did
        } finally {
            closed.add("closed");
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) != '\n') {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                b.write(c);
            }
        }
        return b.toString(ISO_8859_1);
    }

    static void writeText(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(ISO_8859_1));
        out.flush();
    }

    /** A whole answer with the seal. */
    static Script respondWith(int status, String body, String more) {
        return (s, out, socket) -> writeText(
                out,
                "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + s.headers().get("Attempt-Id") + "\r\nServer-Seal: s\r\n"
                        + more + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    static String chunk(String s) {
        return Integer.toHexString(s.length()) + "\r\n" + s + "\r\n";
    }

    static String streamHead(ReceivedRequest s) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + s.headers().get("Attempt-Id") + "\r\nServer-Seal: "
                + "seal\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
