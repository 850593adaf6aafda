package ringspindle.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs many streams concurrently, half of which are aborted by their engines: the end of one stream must not lose bytes
 * of another. This guards against two connections that use the same pooled buffer, where the end of one cleared bytes
 * of the other. The fault needs real parallel threads and shows only occasionally.
 */
@Timeout(120)
class ConcurrentBrokenStreamsTest extends ProxyFixture {
    private static final int ENGINE_COUNT = 4;
    private static final int CLIENT_COUNT = 24;
    private static final int STREAM_COUNT = 800;
    private static final int EVENTS_PER_STREAM = 40;
    private static final int MAX_SPINS = 50_000;
    private static final Pattern DATA = Pattern.compile("data: (\\S+) (\\d+)\n");
    private static final String END_OF_CHUNKS = "0\r\n\r\n";

    @Test
    void abortedStreamLosesNoEventsOfAnother() throws Exception {
        for (int i = 0; i < ENGINE_COUNT; i++) {
            engine("i-" + i, "z", this::serve);
        }
        ExecutorService clients = Executors.newFixedThreadPool(CLIENT_COUNT);
        try {
            List<Future<String>> faults = new ArrayList<>();
            for (int i = 0; i < STREAM_COUNT; i++) {
                String id = "t" + i;
                faults.add(clients.submit(() -> findFault(id, sendAndReadAll("/long/x", id))));
            }
            for (Future<String> fault : faults) {
                assertEquals("", fault.get(60, TimeUnit.SECONDS));
            }
        } finally {
            clients.shutdownNow();
        }
    }

    /** Returns what is wrong with the response, empty if nothing is. */
    private static String findFault(String id, String response) {
        List<Integer> numbers = new ArrayList<>();
        Matcher data = DATA.matcher(response);
        while (data.find()) {
            if (!data.group(1).equals(id)) {
                return id + " has an event of " + data.group(1);
            }
            numbers.add(Integer.parseInt(data.group(2)));
        }
        List<Integer> expected = IntStream.range(0, numbers.size()).boxed().toList();
        if (!numbers.equals(expected)) {
            return id + " is out of order: " + numbers;
        }
        boolean complete = response.startsWith("HTTP/1.1 200") && response.endsWith(END_OF_CHUNKS);
        return complete && numbers.size() != EVENTS_PER_STREAM ? id + " ends after " + numbers.size() : "";
    }

    /** Spends some time, so that groups arrive separately or together; the assertions do not depend on the duration. */
    private static void spin(int times) {
        for (int i = 0; i < times; i++) {
            Thread.onSpinWait();
        }
    }

    /** Sends events in groups; half of the first attempts end within an event, half of these with a reset. */
    private void serve(ScriptedEngine.ReceivedRequest request, OutputStream out, Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        String id = request.headers().get("Attempt-Id");
        int next = Integer.parseInt(request.headers().getOrDefault("Last-Event-Id", "-1")) + 1;
        Random random = new Random(id.hashCode());
        int abortAt = next == 0 && random.nextBoolean() ? 1 + random.nextInt(EVENTS_PER_STREAM - 1) : EVENTS_PER_STREAM;
        ScriptedEngine.writeText(out, ScriptedEngine.streamHead(request));
        while (next < EVENTS_PER_STREAM) {
            StringBuilder group = new StringBuilder();
            for (int last = Math.min(EVENTS_PER_STREAM, next + 1 + random.nextInt(3)); next < last; next++) {
                group.append("id: ")
                        .append(next)
                        .append("\ndata: ")
                        .append(id)
                        .append(' ')
                        .append(next)
                        .append("\n\n");
            }
            if (next >= abortAt) {
                int cut = 1 + random.nextInt(group.length() - 1);
                ScriptedEngine.writeText(out, ScriptedEngine.chunk(group.substring(0, cut)));
                socket.setSoLinger(random.nextBoolean(), 0);
                throw new IOException("break off");
            }
            ScriptedEngine.writeText(out, ScriptedEngine.chunk(group.toString()));
            if (random.nextInt(4) == 0) {
                spin(random.nextInt(MAX_SPINS));
            }
        }
        ScriptedEngine.writeText(out, END_OF_CHUNKS);
    }
}
