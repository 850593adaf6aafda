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
 * Many streams at once on real threads, of which engines break off half: what ends one stream takes nothing away from
 * another. Bytes of a connection were once lost when another connection ended at the same moment, as both had held the
 * same pooled buffer; so this needs threads that run in parallel, and shows that fault only now and then.
 */
@Timeout(120)
class ManyBrokenStreamsTest extends ProxyFixture {
    private static final int ENGINES = 4;
    private static final int CLIENTS = 24;
    private static final int STREAMS = 800;
    private static final int EVENTS = 40;
    private static final int SPINS_MAX = 50_000;
    private static final Pattern DATA = Pattern.compile("data: (\\S+) (\\d+)\n");
    private static final String END_OF_CHUNKS = "0\r\n\r\n";

    @Test
    void noStreamLosesAnEventToTheEndOfAnother() throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            engine("i-" + i, "z", this::serve);
        }
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        try {
            List<Future<String>> faults = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                String id = "t" + i;
                faults.add(clients.submit(() -> fault(id, ok("/long/x", id))));
            }
            for (Future<String> fault : faults) {
                assertEquals("", fault.get(60, TimeUnit.SECONDS));
            }
        } finally {
            clients.shutdownNow();
        }
    }

    /** What is wrong with that answer, empty if nothing is. */
    private static String fault(String id, String answer) {
        List<Integer> numbers = new ArrayList<>();
        Matcher data = DATA.matcher(answer);
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
        boolean complete = answer.startsWith("HTTP/1.1 200") && answer.endsWith(END_OF_CHUNKS);
        return complete && numbers.size() != EVENTS ? id + " ends after " + numbers.size() : "";
    }

    /** Spends some time, so that groups come singly as well as together; what is asserted holds whatever it takes. */
    private static void spin(int times) {
        for (int i = 0; i < times; i++) {
            Thread.onSpinWait();
        }
    }

    /** Sends events in groups; of the first runs every other one breaks off inside an event, half of those by a reset. */
    private void serve(ScriptedEngine.ReceivedRequest seen, OutputStream out, Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        String id = seen.headers().get("Attempt-Id");
        int next = Integer.parseInt(seen.headers().getOrDefault("Last-Event-Id", "-1")) + 1;
        Random random = new Random(id.hashCode());
        int breakAt = next == 0 && random.nextBoolean() ? 1 + random.nextInt(EVENTS - 1) : EVENTS;
        ScriptedEngine.writeText(out, ScriptedEngine.streamHead(seen));
        while (next < EVENTS) {
            StringBuilder group = new StringBuilder();
            for (int last = Math.min(EVENTS, next + 1 + random.nextInt(3)); next < last; next++) {
                group.append("id: ")
                        .append(next)
                        .append("\ndata: ")
                        .append(id)
                        .append(' ')
                        .append(next)
                        .append("\n\n");
            }
            if (next >= breakAt) {
                int cut = 1 + random.nextInt(group.length() - 1);
                ScriptedEngine.writeText(out, ScriptedEngine.chunk(group.substring(0, cut)));
                socket.setSoLinger(random.nextBoolean(), 0);
                throw new IOException("break off");
            }
            ScriptedEngine.writeText(out, ScriptedEngine.chunk(group.toString()));
            if (random.nextInt(4) == 0) {
                spin(random.nextInt(SPINS_MAX));
            }
        }
        ScriptedEngine.writeText(out, END_OF_CHUNKS);
    }
}
