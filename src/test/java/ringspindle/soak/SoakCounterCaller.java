package ringspindle.soak;

import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ringspindle.soak.SoakTopology.Node;

/** An application in one region that adds to its own counter, each id until it is acknowledged, nearest control node first. */
final class SoakCounterCaller implements Runnable {
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int PAUSE_MS = 30;
    private static final int TRIES_MAX = 6;

    private final String region;
    private final List<Node> nearestFirst;
    private final SoakHistory history;
    private final CountDownLatch ended;
    private final SoakHttp http = new SoakHttp();
    private volatile int sent;
    private volatile int acknowledged;

    SoakCounterCaller(SoakTopology topology, String region, SoakHistory history, CountDownLatch ended) {
        this.region = region;
        this.history = history;
        this.ended = ended;
        nearestFirst = new ArrayList<>(topology.controlNodes());
        nearestFirst.sort((one, other) ->
                Boolean.compare(!one.region().equals(region), !other.region().equals(region)));
    }

    @Override
    public void run() {
        try {
            while (!ended.await(PAUSE_MS, TimeUnit.MILLISECONDS)) {
                add("id-" + region + "-" + sent++);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ids differ by one each, so a total tells how many count. */
    private void add(String id) throws InterruptedException {
        String body = "{\"instanceId\":\"" + id + "\",\"actor\":1}";
        for (int call = 0; call < TRIES_MAX; call++) {
            Node node = nearestFirst.get(call % nearestFirst.size());
            HttpResponse<String> answer = http.call("POST", address(node), path(), Map.of(), body);
            if (answer != null && answer.statusCode() == 200) {
                acknowledged++;
                return;
            }
        }
    }

    private String path() {
        return "/ringspindle/tallies/t-" + region;
    }

    private static String address(Node node) {
        return node.ip() + ":" + SoakTopology.CONTROL_PORT;
    }

    int acknowledged() {
        return acknowledged;
    }

    /** Every control node tells a total of at least what was acknowledged, and at most what was sent. */
    void check(Duration limit) throws InterruptedException {
        for (Node node : nearestFirst) {
            if (!Polling.until(limit, () -> total(node) >= acknowledged)) {
                history.fail("LOST: " + node.name() + " tells " + total(node) + " of " + acknowledged
                        + " acknowledged increments of " + region);
            }
            if (total(node) > sent) {
                history.fail(
                        "TWICE: " + node.name() + " tells " + total(node) + ", " + sent + " were sent in " + region);
            }
        }
    }

    private long total(Node node) throws InterruptedException {
        HttpResponse<String> answer = http.call("GET", address(node), path(), Map.of(), "");
        if (answer == null || answer.statusCode() != 200) {
            return -1;
        }
        return JSON.createReader(new StringReader(answer.body()))
                .readObject()
                .getJsonNumber("total")
                .longValue();
    }
}
