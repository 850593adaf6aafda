package ringspindle.soak;

import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ringspindle.soak.SoakTopology.Node;

/** The one operator: sends configurations one upon the other, each until it is acknowledged. */
final class SoakOperator implements Runnable {
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int CHANGE_MS = 700;
    private static final int CALL_SEVERAL_TIMES = 300;

    private final List<Node> controlNodes;
    private final SoakHistory history;
    private final CountDownLatch ended;
    private final Random random;
    private final SoakHttp http = new SoakHttp();
    private volatile long acknowledged;
    private volatile long sent;

    SoakOperator(SoakTopology topology, SoakHistory history, CountDownLatch ended, long seed) {
        controlNodes = topology.controlNodes();
        this.history = history;
        this.ended = ended;
        random = new Random(seed);
    }

    /** Sends the next configuration until it is acknowledged; false if that does not come. */
    boolean change() throws InterruptedException {
        long base = acknowledged;
        sent = base + 1 + random.nextInt(3);
        for (int call = 0; call < CALL_SEVERAL_TIMES; call++) {
            Node node = controlNodes.get(random.nextInt(controlNodes.size()));
            HttpResponse<String> answer = http.call(
                    "PUT",
                    node.ip() + ":" + SoakTopology.CONTROL_PORT,
                    "/ringspindle/configuration",
                    Map.of("If-Match", String.valueOf(base)),
                    SoakTopology.configuration(sent));
            if (answer != null && answer.statusCode() == 200) {
                acknowledged = sent;
                return true;
            }
            if (answer != null && answer.statusCode() / 100 == 4) {
                history.fail("CONFIG: revision " + sent + " upon " + base + " is refused with " + answer.statusCode()
                        + " though nobody else sends any");
            }
            Polling.pause();
        }
        return false;
    }

    @Override
    public void run() {
        try {
            while (!ended.await(CHANGE_MS, TimeUnit.MILLISECONDS)) {
                change();
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** The last acknowledged revision. */
    long acknowledged() {
        return acknowledged;
    }

    /** Null once a control node tells the newest acknowledged configuration, or what was sent after it; else what is wrong. */
    String readBack(Node node) throws InterruptedException {
        HttpResponse<String> answer = http.call(
                "GET", node.ip() + ":" + SoakTopology.CONTROL_PORT, "/ringspindle/configuration", Map.of(), "");
        if (answer == null || answer.statusCode() != 200) {
            return node.name() + " tells no configuration";
        }
        long revision = JSON.createReader(new StringReader(answer.body()))
                .readObject()
                .getJsonNumber("revision")
                .longValue();
        return revision == acknowledged || revision == sent
                ? null
                : node.name() + " tells revision " + revision + ", acknowledged is " + acknowledged;
    }
}
