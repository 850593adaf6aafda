package ringspindle.proxy;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Encodes event streams like an engine, in all body framings, and decodes them like a client. */
final class EventStreams {
    private static final String END_OF_CHUNKS = "0\r\n\r\n";
    private static final String SEAL = "Server-Seal: ";

    /** How an engine delimits its response body. */
    enum Framing {
        CHUNK_PER_EVENT,
        ONE_CHUNK,
        TINY_CHUNKS,
        CONTENT_LENGTH,
        /** No length: the body ends with its connection. */
        CLOSE_DELIMITED;

        boolean isChunked() {
            return this == CHUNK_PER_EVENT || this == ONE_CHUNK || this == TINY_CHUNKS;
        }
    }

    /** How an engine's connection ends. */
    enum Ending {
        CLOSE,
        /** The engine closes only its output, and waits until the proxy closes the connection. */
        HALF_CLOSE,
        RESET;

        /** Ends the connection; always throws to end the engine's script. */
        void end(Socket socket) throws IOException {
            if (this == RESET) {
                socket.setSoLinger(true, 0);
            } else if (this == HALF_CLOSE) {
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            }
            throw new IOException(name());
        }
    }

    /**
     * A complete response of an engine.
     *
     * @param bytes all bytes, including headers and framing
     * @param bodyBefore for each n, how many of the first n bytes belong to events
     * @param lastChunkAt the offset after the header of the last chunk; the total length without chunks
     */
    record Response(Framing framing, byte[] bytes, int[] bodyBefore, int lastChunkAt) {}

    /** A response as the client decodes it. */
    record Received(String head, String body, boolean complete) {
        /** Decodes the bytes received until the end of the connection; truncated chunks are included in the body. */
        static Received of(String bytes) {
            int end = bytes.indexOf("\r\n\r\n");
            if (end < 0) {
                return new Received(bytes, "", false);
            }
            String head = bytes.substring(0, end + 2);
            String encoded = bytes.substring(end + 4);
            if (!head.contains("Transfer-Encoding: chunked")) {
                int position = head.indexOf("Content-Length: ");
                boolean complete = position >= 0
                        && encoded.length()
                                == Integer.parseInt(head.substring(position + 16, head.indexOf('\r', position))
                                        .trim());
                return new Received(head, encoded, complete);
            }
            StringBuilder body = new StringBuilder();
            int position = 0;
            while (true) {
                int lineEnd = encoded.indexOf("\r\n", position);
                if (lineEnd < 0) {
                    return new Received(head, body.toString(), false);
                }
                int size = Integer.parseInt(encoded.substring(position, lineEnd), 16);
                if (size == 0) {
                    return new Received(
                            head, body.toString(), encoded.substring(position).equals(END_OF_CHUNKS));
                }
                int chunkEnd = Math.min(lineEnd + 2 + size, encoded.length());
                body.append(encoded, lineEnd + 2, chunkEnd);
                position = chunkEnd + 2;
                if (position > encoded.length()) {
                    return new Received(head, body.toString(), false);
                }
            }
        }

        int status() {
            return Integer.parseInt(head.substring(9, 12));
        }

        /** Returns the values of all seal headers. */
        List<String> seals() {
            return head.lines()
                    .filter(line -> line.startsWith(SEAL))
                    .map(line -> line.substring(SEAL.length()))
                    .toList();
        }

        /** Returns true for a response that a client regards as complete. */
        boolean looksComplete() {
            return head.startsWith("HTTP/1.1 200") && complete;
        }
    }

    private EventStreams() {}

    /** Returns the head of an engine's stream without the framing headers. */
    static String head(ScriptedEngine.ReceivedRequest request, String seal, String weightVersions) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.headers().get("Attempt-Id") + "\r\nServer-Seal: " + seal
                + "\r\nWeight-Versions: " + weightVersions + "\r\n";
    }

    /** Returns a response with the given head and events. */
    static Response response(String head, Framing framing, List<String> events) {
        String body = String.join("", events);
        return switch (framing) {
            case CHUNK_PER_EVENT -> chunked(head, framing, events);
            case ONE_CHUNK -> chunked(head, framing, body.isEmpty() ? List.of() : List.of(body));
            case TINY_CHUNKS -> chunked(head, framing, split(body, 3));
            case CONTENT_LENGTH -> unchunked(head + "Content-Length: " + body.length() + "\r\n\r\n", framing, body);
            case CLOSE_DELIMITED -> unchunked(head + "Connection: close\r\n\r\n", framing, body);
        };
    }

    private static List<String> split(String text, int size) {
        List<String> parts = new ArrayList<>();
        for (int position = 0; position < text.length(); position += size) {
            parts.add(text.substring(position, Math.min(text.length(), position + size)));
        }
        return parts;
    }

    private static Response unchunked(String head, Framing framing, String body) {
        int[] bodyBefore = new int[head.length() + body.length() + 1];
        for (int i = 0; i <= body.length(); i++) {
            bodyBefore[head.length() + i] = i;
        }
        return new Response(framing, (head + body).getBytes(ISO_8859_1), bodyBefore, bodyBefore.length - 1);
    }

    private static Response chunked(String head, Framing framing, List<String> chunks) {
        StringBuilder out = new StringBuilder(head + "Transfer-Encoding: chunked\r\n\r\n");
        List<Integer> bodyBefore = new ArrayList<>();
        int body = 0;
        for (String chunk : chunks) {
            out.append(Integer.toHexString(chunk.length())).append("\r\n");
            padTo(bodyBefore, out.length(), body);
            for (int i = 0; i < chunk.length(); i++) {
                bodyBefore.add(body++);
            }
            out.append(chunk).append("\r\n");
        }
        out.append("0\r\n");
        int lastChunkAt = out.length();
        out.append("\r\n");
        padTo(bodyBefore, out.length() + 1, body);
        return new Response(
                framing,
                out.toString().getBytes(ISO_8859_1),
                bodyBefore.stream().mapToInt(Integer::intValue).toArray(),
                lastChunkAt);
    }

    private static void padTo(List<Integer> counts, int length, int value) {
        while (counts.size() < length) {
            counts.add(value);
        }
    }

    /** Reads to the end of the connection; runs the action once the text was received, for an empty text at once. */
    static String readAll(Socket socket, String text, Runnable onReceived) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        boolean notified = text.isEmpty();
        if (notified) {
            onReceived.run();
        }
        try (socket) {
            InputStream in = socket.getInputStream();
            byte[] part = new byte[8192];
            for (int count = in.read(part); count >= 0; count = in.read(part)) {
                all.write(part, 0, count);
                if (!notified && all.toString(ISO_8859_1).contains(text)) {
                    notified = true;
                    onReceived.run();
                }
            }
        }
        return all.toString(ISO_8859_1);
    }
}
