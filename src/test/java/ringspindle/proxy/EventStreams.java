package ringspindle.proxy;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Event streams as engines send them in their framings, and as a client finds them in the bytes of an answer. */
final class EventStreams {
    private static final String END_OF_CHUNKS = "0\r\n\r\n";
    private static final String SEAL = "Server-Seal: ";

    /** How an engine marks where its body begins and ends. */
    enum Framing {
        CHUNK_PER_EVENT,
        ONE_CHUNK,
        TINY_CHUNKS,
        CONTENT_LENGTH,
        /** No length at all: the body ends with its connection. */
        UNFRAMED;

        boolean chunked() {
            return this == CHUNK_PER_EVENT || this == ONE_CHUNK || this == TINY_CHUNKS;
        }
    }

    /** How an engine's connection ends. */
    enum Ending {
        CLOSE,
        /** The engine closes its sending side only, and waits for the other side to close. */
        HALF_CLOSE,
        RESET;

        /** Ends the connection and does not return, as the engine's script is over. */
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
     * A whole answer of an engine.
     *
     * @param bytes all of it, head and framing too
     * @param bodyBefore how many of the first n bytes are bytes of events, by n
     * @param lastChunkAt behind which byte the line of the last chunk stands; the length of all without chunks
     */
    record Answer(Framing framing, byte[] bytes, int[] bodyBefore, int lastChunkAt) {}

    /** What a client finds in the bytes of an answer. */
    record Received(String head, String body, boolean complete) {
        /** The bytes of an answer that ended with its connection; with chunks cut off, what they held. */
        static Received of(String bytes) {
            int end = bytes.indexOf("\r\n\r\n");
            if (end < 0) {
                return new Received(bytes, "", false);
            }
            String head = bytes.substring(0, end + 2);
            String rest = bytes.substring(end + 4);
            if (!head.contains("Transfer-Encoding: chunked")) {
                int at = head.indexOf("Content-Length: ");
                boolean complete = at >= 0
                        && rest.length()
                                == Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at))
                                        .trim());
                return new Received(head, rest, complete);
            }
            StringBuilder body = new StringBuilder();
            int at = 0;
            while (true) {
                int line = rest.indexOf("\r\n", at);
                if (line < 0) {
                    return new Received(head, body.toString(), false);
                }
                int size = Integer.parseInt(rest.substring(at, line), 16);
                if (size == 0) {
                    return new Received(
                            head, body.toString(), rest.substring(at).equals(END_OF_CHUNKS));
                }
                int stop = Math.min(line + 2 + size, rest.length());
                body.append(rest, line + 2, stop);
                at = stop + 2;
                if (at > rest.length()) {
                    return new Received(head, body.toString(), false);
                }
            }
        }

        int status() {
            return Integer.parseInt(head.substring(9, 12));
        }

        /** The stamps in the head, all of them. */
        List<String> seals() {
            return head.lines()
                    .filter(line -> line.startsWith(SEAL))
                    .map(line -> line.substring(SEAL.length()))
                    .toList();
        }

        /** True for what a client counts as an answer with nothing missing. */
        boolean looksComplete() {
            return head.startsWith("HTTP/1.1 200") && complete;
        }
    }

    private EventStreams() {}

    /** The head of an engine's stream up to its framing. */
    static String head(ScriptedEngine.ReceivedRequest seen, String seal, String weights) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + seen.headers().get("Attempt-Id") + "\r\nServer-Seal: " + seal
                + "\r\nWeight-Versions: " + weights + "\r\n";
    }

    /** These events behind that head. */
    static Answer answer(String head, Framing framing, List<String> events) {
        String body = String.join("", events);
        return switch (framing) {
            case CHUNK_PER_EVENT -> chunked(head, framing, events);
            case ONE_CHUNK -> chunked(head, framing, body.isEmpty() ? List.of() : List.of(body));
            case TINY_CHUNKS -> chunked(head, framing, pieces(body, 3));
            case CONTENT_LENGTH -> plain(head + "Content-Length: " + body.length() + "\r\n\r\n", framing, body);
            case UNFRAMED -> plain(head + "Connection: close\r\n\r\n", framing, body);
        };
    }

    private static List<String> pieces(String text, int size) {
        List<String> out = new ArrayList<>();
        for (int at = 0; at < text.length(); at += size) {
            out.add(text.substring(at, Math.min(text.length(), at + size)));
        }
        return out;
    }

    private static Answer plain(String head, Framing framing, String body) {
        int[] before = new int[head.length() + body.length() + 1];
        for (int i = 0; i <= body.length(); i++) {
            before[head.length() + i] = i;
        }
        return new Answer(framing, (head + body).getBytes(ISO_8859_1), before, before.length - 1);
    }

    private static Answer chunked(String head, Framing framing, List<String> chunks) {
        StringBuilder out = new StringBuilder(head + "Transfer-Encoding: chunked\r\n\r\n");
        List<Integer> before = new ArrayList<>();
        int body = 0;
        for (String chunk : chunks) {
            out.append(Integer.toHexString(chunk.length())).append("\r\n");
            fill(before, out.length(), body);
            for (int i = 0; i < chunk.length(); i++) {
                before.add(body++);
            }
            out.append(chunk).append("\r\n");
        }
        out.append("0\r\n");
        int lastChunkAt = out.length();
        out.append("\r\n");
        fill(before, out.length() + 1, body);
        return new Answer(
                framing,
                out.toString().getBytes(ISO_8859_1),
                before.stream().mapToInt(Integer::intValue).toArray(),
                lastChunkAt);
    }

    private static void fill(List<Integer> counts, int length, int value) {
        while (counts.size() < length) {
            counts.add(value);
        }
    }

    /** Reads to the end of the connection and runs that once the text has come; with an empty one, at once. */
    static String readAll(Socket socket, String text, Runnable whenThere) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        boolean told = text.isEmpty();
        if (told) {
            whenThere.run();
        }
        try (socket) {
            InputStream in = socket.getInputStream();
            byte[] piece = new byte[8192];
            for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
                all.write(piece, 0, n);
                if (!told && all.toString(ISO_8859_1).contains(text)) {
                    told = true;
                    whenThere.run();
                }
            }
        }
        return all.toString(ISO_8859_1);
    }
}
