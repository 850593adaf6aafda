package ringspindle.soak;

import jakarta.json.JsonString;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ringspindle.soak.SoakTopology.Node;

/**
 * A client of one host. It asks the directory, then keeps the data node that it was led to until that node refuses it, or,
 * every other client, until its process is gone; whatever the directory would say by then.
 */
final class SoakClient implements Runnable {
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int PAUSE_MS = 20;

    private final SoakTopology topology;
    private final String region;
    private final String host;
    private final String name;
    private final SoakHistory history;
    private final CountDownLatch ended;
    private final Random random;
    /** It stays with a node that refuses it, until the process is gone. */
    private final boolean stubborn;

    private final SoakHttp http = new SoakHttp();
    private int attempts;

    SoakClient(
            SoakTopology topology, String region, String host, SoakHistory history, CountDownLatch ended, long seed) {
        this.topology = topology;
        this.region = region;
        this.host = host;
        this.history = history;
        this.ended = ended;
        random = new Random(seed);
        stubborn = seed % 2 == 0;
        name = region + "-" + host + "-" + seed;
    }

    @Override
    public void run() {
        try {
            String node = null;
            while (!ended.await(PAUSE_MS, TimeUnit.MILLISECONDS)) {
                node = node == null ? resolve() : node;
                if (node != null && !request(node)) {
                    node = null;
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** The address of a data node, null if no control node names one. */
    private String resolve() throws InterruptedException {
        List<Node> near = new ArrayList<>(topology.controlNodes());
        Collections.shuffle(near, random);
        near.sort((one, other) ->
                Boolean.compare(!one.region().equals(region), !other.region().equals(region)));
        for (Node node : near) {
            HttpResponse<String> answer = http.call(
                    "GET",
                    node.ip() + ":" + SoakTopology.REGISTRY_PORT,
                    "/ringspindle/resolution?name=" + host + "&region=" + region + "&zone=z" + region,
                    Map.of(),
                    "");
            if (answer != null && answer.statusCode() == 200) {
                List<String> addresses = JSON.createReader(new StringReader(answer.body()))
                        .readObject()
                        .getJsonArray("addresses")
                        .getValuesAs(JsonString::getString);
                history.add(new SoakHistory.Led(region, host, addresses));
                return addresses.get(random.nextInt(addresses.size()));
            }
        }
        return null;
    }

    /** False if the node is not to be used any more. */
    private boolean request(String node) throws InterruptedException {
        String id = name + "-" + attempts++;
        boolean mutating = random.nextBoolean();
        boolean streaming = mutating && host.equals(SoakTopology.FREE_HOST) && random.nextBoolean();
        String path = streaming ? "/stream/" : mutating ? "/order/" : "/card/";
        HttpResponse<String> answer = http.call(
                "POST", node, path + attempts, Map.of("Host", host, "Attempt-Id", id, "Deadline-Ms", "3000"), id);
        int status = answer == null ? SoakHistory.NO_STATUS : answer.statusCode();
        String answeredBy =
                answer == null ? "" : answer.headers().firstValue("Server-Seal").orElse("");
        String whole = streaming ? SoakEngine.events(id) : id;
        boolean wholeBody = answer != null && answer.body().equals(whole);
        history.add(
                new SoakHistory.Attempt(id, host, mutating, node, System.nanoTime(), status, answeredBy, wholeBody));
        return stubborn ? status != SoakHistory.NO_STATUS : status == 200;
    }
}
