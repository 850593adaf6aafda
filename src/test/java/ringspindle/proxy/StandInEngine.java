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
final class StandInEngine implements AutoCloseable {
    /** One request as it came. */
    record Seen(String line, Map<String, String> heads, byte[] body) {}

    /** What a script may do with one request. */
    interface Script {
        void run(Seen seen, OutputStream out, Socket socket) throws Exception;
    }

    final ServerSocket server;
    final BlockingQueue<Seen> seen = new LinkedBlockingQueue<>();
    /** Gets a token when a wire ends from the other side. */
    final BlockingQueue<String> closed = new LinkedBlockingQueue<>();

    private volatile Script script;
    private volatile Script early;

    StandInEngine(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread t = new Thread(this::accept);
        t.setDaemon(true);
        t.start();
    }

    void script(Script s) {
        script = s;
    }

    /** Runs that as soon as a head is read, before the body is. */
    void early(Script s) {
        early = s;
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
                Map<String, String> heads = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
                for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                    int colon = h.indexOf(':');
                    heads.put(h.substring(0, colon), h.substring(colon + 1).trim());
                }
                Script beforeBody = early;
                if (beforeBody != null) {
                    Seen head = new Seen(line, heads, new byte[0]);
                    seen.add(head);
                    beforeBody.run(head, s.getOutputStream(), s);
                }
                byte[] body = in.readNBytes(Integer.parseInt(heads.getOrDefault("Content-Length", "0")));
                Seen x = new Seen(line, heads, body);
                seen.add(x);
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

    static void say(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(ISO_8859_1));
        out.flush();
    }

    /** A whole answer with the seal. */
    static Script whole(int status, String body, String more) {
        return (s, out, socket) -> say(
                out,
                "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + s.heads().get("Attempt-Id") + "\r\nServer-Seal: s\r\n"
                        + more + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    static String chunk(String s) {
        return Integer.toHexString(s.length()) + "\r\n" + s + "\r\n";
    }

    static String streamHead(Seen s) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + s.heads().get("Attempt-Id") + "\r\nServer-Seal: "
                + "seal\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
