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

/** A fake engine on loopback that records the requests it receives and answers each of them with a script. */
final class ScriptedEngine implements AutoCloseable {
    /** One request as it was received. */
    record ReceivedRequest(String requestLine, Map<String, String> headers, byte[] body) {}

    /** Answers one request; an exception closes the connection. */
    interface Script {
        void run(ReceivedRequest request, OutputStream out, Socket socket) throws Exception;
    }

    final ServerSocket server;
    final BlockingQueue<ReceivedRequest> requests = new LinkedBlockingQueue<>();
    /** Receives an element whenever a connection ends. */
    final BlockingQueue<String> closed = new LinkedBlockingQueue<>();

    private volatile Script script;
    private volatile Script earlyScript;

    ScriptedEngine(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::accept);
        thread.setDaemon(true);
        thread.start();
    }

    void setScript(Script newScript) {
        script = newScript;
    }

    /** Sets a script that runs once the headers are read, before the body is. */
    void setEarlyScript(Script newScript) {
        earlyScript = newScript;
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException serverClosed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String requestLine = readLine(in);
                if (requestLine == null) {
                    break;
                }
                Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
                for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                    int colon = line.indexOf(':');
                    headers.put(
                            line.substring(0, colon), line.substring(colon + 1).trim());
                }
                Script beforeBody = earlyScript;
                if (beforeBody != null) {
                    ReceivedRequest head = new ReceivedRequest(requestLine, headers, new byte[0]);
                    requests.add(head);
                    beforeBody.run(head, socket.getOutputStream(), socket);
                }
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
                ReceivedRequest request = new ReceivedRequest(requestLine, headers, body);
                requests.add(request);
                script.run(request, socket.getOutputStream(), socket);
                socket.getOutputStream().flush();
            }
        } catch (Exception aborted) {
            // The script or the proxy ended the connection.
        } finally {
            closed.add("closed");
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(ISO_8859_1);
    }

    static void writeText(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(ISO_8859_1));
        out.flush();
    }

    /** Returns a script that sends a complete response with the seal. */
    static Script respondWith(int status, String body, String moreHeaders) {
        return (request, out, socket) -> writeText(
                out,
                "HTTP/1.1 " + status + " X\r\nAttempt-Id: " + request.headers().get("Attempt-Id")
                        + "\r\nServer-Seal: s\r\n" + moreHeaders + "Content-Length: " + body.length() + "\r\n\r\n"
                        + body);
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String streamHead(ReceivedRequest request) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.headers().get("Attempt-Id") + "\r\nServer-Seal: "
                + "seal\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
