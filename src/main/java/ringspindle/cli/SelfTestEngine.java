package ringspindle.cli;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;

/**
 * The least that an engine can be: it responds to each request, one a connection, with two bytes, or below {@code /query/} with
 * a stream of two events.
 */
final class SelfTestEngine {
    private static final String ATTEMPT_ID = "attempt-id:";
    private static final String CONTENT_LENGTH = "content-length:";
    private static final String STREAM_REQUEST = "post /query/";
    private static final String BODY = "Content-Length: 2\r\n\r\nok";
    /** Each event has 19 bytes, and a chunk of its own. */
    private static final String STREAM =
            "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked"
                    + "\r\n\r\n13\r\nid: 1\ndata: first\n\n\r\n13\r\nid: 2\ndata: after\n\n\r\n0\r\n\r\n";

    private SelfTestEngine() {}

    /** Serves until the socket is closed, which ends it with an exception. */
    static void serve(ServerSocket listener) throws IOException {
        while (true) {
            try (Socket connection = listener.accept()) {
                respond(connection);
            }
        }
    }

    private static void respond(Socket connection) throws IOException {
        BufferedReader request = new BufferedReader(new InputStreamReader(connection.getInputStream(), ISO_8859_1));
        String attemptId = "";
        int length = 0;
        boolean streams = false;
        for (String line = request.readLine(); line != null && !line.isEmpty(); line = request.readLine()) {
            String lower = line.toLowerCase(Locale.ROOT);
            streams |= lower.startsWith(STREAM_REQUEST);
            if (lower.startsWith(ATTEMPT_ID)) {
                attemptId = line.substring(ATTEMPT_ID.length()).trim();
            } else if (lower.startsWith(CONTENT_LENGTH)) {
                length =
                        Integer.parseInt(line.substring(CONTENT_LENGTH.length()).trim());
            }
        }
        for (int i = 0; i < length; i++) {
            request.read();
        }
        String response = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nServer-Seal: s\r\nConnection: close\r\n"
                + (streams ? STREAM : BODY);
        connection.getOutputStream().write(response.getBytes(ISO_8859_1));
    }
}
