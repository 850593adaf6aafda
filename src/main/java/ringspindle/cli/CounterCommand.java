package ringspindle.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.api.Operation;

/**
 * {@code tallies}: the replicated counters at every control node, what peers lack, and whether the nodes agree. With names,
 * only those counters. Nodes are asked one after the other, so under traffic totals may differ by what came in meanwhile.
 * Ends badly if a node was not reached, does not tell totals yet, or is cut off.
 */
@Parameters(commandDescription = "replicated counters: totals by control node, and what is not told everywhere")
final class CounterCommand extends FleetCommand {
    private static final String[] NODE_COLUMNS = {
        "node", "joined", "isolated", "instances", "unconfirmed", "peersInTouch", "peersLack"
    };
    private static final String[] TOTAL_COLUMNS = {"counter", "total", "nodes"};

    @Parameter(description = "[NAME ...]")
    private List<String> names = new ArrayList<>();

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        ControlPlaneReply status = client.call(Operation.STATUS);
        if (!(status instanceof ControlPlaneReply.Accepted accepted)) {
            return console.report(status);
        }
        List<JsonObject> pages = new ArrayList<>();
        Set<String> unreached = new TreeSet<>();
        for (String node : ControlNodes.known(client, accepted.json())) {
            if (client.callOnce(node, Operation.COUNTERS) instanceof ControlPlaneReply.Accepted page) {
                pages.add(page.json());
            } else {
                unreached.add(node);
            }
        }
        if (pages.isEmpty()) {
            return ExitCode.NOT_REACHED;
        }
        print(pages, unreached, console);
        return unreached.isEmpty() && pages.stream().allMatch(CounterCommand::isWell) ? ExitCode.OK : ExitCode.FAILED;
    }

    private static boolean isWell(JsonObject page) {
        return page.getBoolean("joined") && !page.getBoolean("isolated");
    }

    private void print(List<JsonObject> pages, Set<String> unreached, Console console) {
        JsonObject totals = totals(pages);
        if (wantsJson()) {
            JsonArrayBuilder nodes = Json.createArrayBuilder();
            pages.forEach(nodes::add);
            console.print(Json.createObjectBuilder()
                    .add("totals", totals.getJsonArray("rows"))
                    .add("nodes", nodes)
                    .add("unreached", String.join(", ", unreached))
                    .build());
            return;
        }
        console.printTable(totals.getJsonArray("rows"), TOTAL_COLUMNS);
        JsonArrayBuilder rows = Json.createArrayBuilder();
        pages.forEach(page -> rows.add(nodeRow(page)));
        console.printTable(rows.build(), NODE_COLUMNS);
        unreached.forEach(node -> console.print("not reached: " + node));
    }

    /** One row for each total that a counter has somewhere: with one row a counter, all nodes agree. */
    private JsonObject totals(List<JsonObject> pages) {
        Map<String, Map<String, Set<String>>> nodesByTotal = new TreeMap<>();
        for (JsonObject page : pages) {
            for (Map.Entry<String, JsonValue> total :
                    page.getJsonObject("totals").entrySet()) {
                if (names.isEmpty() || names.contains(total.getKey())) {
                    nodesByTotal
                            .computeIfAbsent(total.getKey(), name -> new TreeMap<>())
                            .computeIfAbsent(total.getValue().toString(), value -> new TreeSet<>())
                            .add(page.getString("node"));
                }
            }
        }
        JsonArrayBuilder rows = Json.createArrayBuilder();
        nodesByTotal.forEach((counter, byTotal) -> byTotal.forEach((total, nodes) -> rows.add(Json.createObjectBuilder()
                .add("counter", counter)
                .add("total", total)
                .add("nodes", String.join(", ", nodes)))));
        return Json.createObjectBuilder().add("rows", rows).build();
    }

    private static JsonObject nodeRow(JsonObject page) {
        List<JsonObject> peers = page.getJsonArray("peers").getValuesAs(JsonObject.class);
        return Json.createObjectBuilder()
                .add("node", page.getString("node"))
                .add("joined", page.getBoolean("joined"))
                .add("isolated", page.getBoolean("isolated"))
                .add("instances", page.getInt("instances"))
                .add("unconfirmed", page.getInt("unconfirmed"))
                .add(
                        "peersInTouch",
                        peers.stream()
                                .filter(peer -> peer.getBoolean("inTouch"))
                                .count())
                .add(
                        "peersLack",
                        peers.stream()
                                .mapToLong(peer -> peer.getJsonNumber("lacks").longValue())
                                .max()
                                .orElse(0))
                .build();
    }
}
