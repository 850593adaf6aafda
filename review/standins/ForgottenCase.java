package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Case: lots are over and old enough to be forgotten, and files of the stores are removed; all stores are killed at once and come
 * back; new lots are accepted, run and read; then a store is killed and comes back, and another one, until a lot is gone.
 */
final class ForgottenCase {
    private static final String HOST = "notes.example";
    private static final int SHARDS = 8;
    private static final int STATUS_TTL_S = 20;
    /** The program keeps a lot for so long beyond statusTtlS. */
    private static final int KEPT_S = STATUS_TTL_S + 30;
    private static final int CONTACT_MS = 4000;
    private static final int SETTLE_MS = 1000;
    private static final int CATCH_UP_MS = 6000;
    private static final int FIRST_MS = 800;
    private static final int END_MS = 112_000;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final Fleet fleet;
    private final List<Engine.Run> runs = Engine.runs();
    /** A route for each of the groups that the program sorts lots into by the name of their route. */
    private final Map<Integer, String> routes = new TreeMap<>();

    private ForgottenCase(Record record) throws Exception {
        this.record = record;
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("ahd-hallc", "ahd");
        zones.put("ahd-halld", "ahd");
        zones.put("ahd-halle", "ahd");
        zones.put("ahd-hallf", "ahd");
        Map<String, String> bounds = new LinkedHashMap<>();
        bounds.put("loss.nodes", "1");
        bounds.put("bound.contactMs", Integer.toString(CONTACT_MS));
        bounds.put("bound.configMs", "2500");
        bounds.put("bound.graceS", "8");
        bounds.put("bound.retrySlack", "58");
        bounds.put("bound.statusTtlS", Integer.toString(STATUS_TTL_S));
        fleet = new Fleet(record, zones, bounds);
        fleet.add("control-plane", fleet.control, 1, "ahd-hallc", "ahd-halld", "ahd-halle");
        fleet.add("data-plane", fleet.data, 2, "ahd-hallc", "ahd-halld");
        fleet.add("storage-node", fleet.storage, 3, "ahd-hallc", "ahd-halld", "ahd-halle", "ahd-hallf");
        for (int i = 0; routes.size() < SHARDS; i++) {
            routes.putIfAbsent(Math.floorMod(("\nr-lots-" + i).hashCode(), SHARDS), "r-lots-" + i);
        }
    }

    public static void main(String[] args) throws Exception {
        try (Record record = new Record(Path.of(args[0]))) {
            int code = 2;
            try {
                code = new ForgottenCase(record).play();
            } catch (Exception failure) {
                record.line("the case could not run: " + failure);
            }
            record.line("exit " + code);
            System.exit(code);
        }
    }

    private int play() throws Exception {
        fleet.start();
        for (int i = 0; i < 2; i++) {
            new Engine(record, "i-llm-" + i, "desk-llm", fleet.control.get(i).zone, fleet.ip(9, i + 1), 64, 40, fleet.control, runs);
        }
        List<String> entries = new ArrayList<>();
        routes.values().forEach(route -> entries.add("{\"name\":\"" + route + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/" + route
                + "/\",\"routeKind\":\"batch\",\"deadlineMs\":5560,\"targetLatencyMs\":667,\"priority\":0,\"service\":\"desk-llm\","
                + "\"maxAttempts\":3,\"targetCompletionMs\":10000,\"maxWaitS\":100,\"maxQueuedTokens\":3400000,\"homeRegions\":[]}"));
        String configuration = "{\"revision\":5,\"routes\":[" + String.join(",", entries) + "],\"services\":[{\"name\":\"desk-llm\","
                + "\"healthPath\":\"/health\",\"maxConnections\":520,\"warmupS\":0.0,\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
        if (!Calls.operator(record, fleet.control, "PUT", "/ringspindle/configuration", Map.of("If-Match", "0"), configuration, 25_000)
                .taken()) {
            fleet.logsTo(record);
            return 2;
        }
        String[] chosen = chooseRoutes();
        if (chosen == null) {
            fleet.logsTo(record);
            return 2;
        }
        List<Fleet.Node> order = new ArrayList<>(fleet.storage);
        order.sort(Comparator.comparing((Fleet.Node node) -> !chosen[2].startsWith(node.ip + ":")));
        String small = chosen[0];
        String big = chosen[1];
        boolean taken = submit(small, "old-1", 10, 8, false);
        taken &= submit(big, "big-1", 39, 50_000, false);
        taken &= submit(big, "big-2", 38, 50_000, true);
        if (!taken) {
            return 2;
        }
        // these lots are over and forgotten by then; the last one ends with a long text
        Thread.sleep(KEPT_S * 1000 + 5000);
        for (int lot = 3; lot <= 5; lot++) {
            taken &= submit(big, "big-" + lot, 39, 50_000, false);
        }
        Thread.sleep(2500);
        shards();
        if (trouble) {
            for (Fleet.Node node : fleet.storage) {
                node.process.destroyForcibly();
                record.line("platform: kills " + node.name);
            }
            for (Fleet.Node node : fleet.storage) {
                node.process.waitFor();
            }
            // one of them comes back a little before the others
            for (Fleet.Node node : order) {
                fleet.launch(node, false);
                Thread.sleep(node == order.get(0) ? FIRST_MS : 0);
            }
        }
        Thread.sleep(CATCH_UP_MS);
        for (int lot = 1; lot <= 3; lot++) {
            taken &= submit(small, "new-" + lot, 2, 8, false);
        }
        if (!taken) {
            return 2;
        }
        Thread.sleep(2000);
        shards();
        Map<String, String> read = new TreeMap<>();
        for (int lot = 1; lot <= 3; lot++) {
            Calls.Answer answer = read(fleet.data.get(0), "new-" + lot);
            if (answer.status() != 200 || !answer.body().contains("\"nextToken\":2")) {
                record.line("not read whole: new-" + lot);
                return 2;
            }
            read.put("new-" + lot, answer.body());
        }
        int broken = check(read);
        for (Fleet.Node node : order) {
            if (broken > 0 || record.nowMs() > END_MS - CATCH_UP_MS - 4000) {
                break;
            }
            if (trouble) {
                fleet.kill(node);
                fleet.launch(node, false);
            }
            // nothing is judged before all are in touch again, and no other store is killed before that
            Thread.sleep(Math.max(CATCH_UP_MS, CONTACT_MS + SETTLE_MS));
            shards();
            broken = check(read);
        }
        record.line(broken + " breaks");
        return fleet.allRun() ? broken > 0 ? 1 : 0 : 2;
    }

    /** Two routes whose lots are led by the same store, and its address, by the operator's page; null if there are none. */
    private String[] chooseRoutes() throws Exception {
        Pattern row = Pattern.compile("\\{\"shard\":(\\d+),\"condition\":\"LED\",\"epoch\":\\d+,\"leader\":\"([^\"]+)\"");
        for (int tries = 0; tries < 40; tries++) {
            Calls.Answer status =
                    Calls.call("GET", fleet.control.get(0).control(), "/ringspindle/status", Map.of(), null, 1000);
            Map<String, Integer> first = new TreeMap<>();
            Matcher rows = row.matcher(status.body());
            int led = 0;
            String[] chosen = null;
            while (rows.find()) {
                led++;
                int shard = Integer.parseInt(rows.group(1));
                Integer other = first.putIfAbsent(rows.group(2), shard);
                if (other != null && chosen == null) {
                    chosen = new String[] {routes.get(other), routes.get(shard), rows.group(2)};
                }
            }
            if (led == SHARDS && chosen != null) {
                return chosen;
            }
            Thread.sleep(300);
        }
        return null;
    }

    /** What the operator's page says of the stores, and their files: for the record alone, nothing is judged by it. */
    private void shards() throws Exception {
        Calls.Answer status = Calls.call("GET", fleet.control.get(0).control(), "/ringspindle/status", Map.of(), null, 1000);
        int at = status.body().indexOf("\"shards\"");
        record.line("status: " + (at < 0 ? status.status() : status.body().substring(at, Math.min(status.body().length(), at + 2500))));
        for (Fleet.Node node : fleet.storage) {
            record.line("files of " + node.name + " " + node.ip + ": " + fleet.files(node));
        }
    }

    /** Reads all lots from the start at each data node; counts what had been read and is not there. */
    private int check(Map<String, String> read) throws InterruptedException {
        int broken = 0;
        for (Fleet.Node node : fleet.data) {
            for (Map.Entry<String, String> lot : read.entrySet()) {
                Calls.Answer answer = read(node, lot.getKey());
                if (answer.status() == 404) {
                    broken++;
                    record.line("BROKEN LOST: 404 for a lot that was accepted, and all of whose results had been read: " + lot.getKey());
                } else if (answer.status() == 200 && !answer.body().equals(lot.getValue())) {
                    broken++;
                    record.line("BROKEN TWICE or LOST: other results than before: " + lot.getKey());
                }
            }
        }
        return broken;
    }

    private Calls.Answer read(Fleet.Node node, String lot) throws InterruptedException {
        Calls.Answer answer = Calls.call(
                "GET", node.frontend(), "/ringspindle/lots/" + lot + "?afterRevision=0", Map.of("Host", HOST), null, 4000);
        record.line("client: GET lots/" + lot + " at " + node.name + " -> " + answer.status() + " "
                + answer.body().substring(0, Math.min(100, answer.body().length())));
        return answer;
    }

    /** Hands a lot in, again at the next node after anything but a 202. */
    private boolean submit(String route, String lot, int items, int bytes, boolean withLong) throws InterruptedException {
        String content = Base64.getEncoder().encodeToString(new byte[bytes]);
        StringBuilder body = new StringBuilder("{\"requests\":[");
        for (int item = 0; item < items + (withLong ? 1 : 0); item++) {
            String path = "/" + route + "/" + (item < items ? "91c" + item : "91c" + Engine.LONG);
            body.append(item == 0 ? "" : ",").append("{\"instanceId\":\"").append(lot).append("-").append(item).append("\",\"path\":\"").append(path)
                    .append("\",\"requestHeaders\":{\"Model\":\"m\",\"Token-Count\":\"540,400\",\"Prompt-Prefix\":\"9c2e41:300,5d07b8:240\"},")
                    .append("\"requestBody\":\"").append(content).append("\",\"tokenCount\":940}");
        }
        body.append("]}");
        for (int i = 0; i < 40; i++) {
            Fleet.Node node = fleet.data.get(i % fleet.data.size());
            Calls.Answer answer = Calls.call(
                    "POST",
                    node.frontend(),
                    "/" + route + "/" + lot,
                    Map.of("Host", HOST, "Attempt-Id", lot, "Content-Type", "application/json"),
                    body.toString(),
                    5000);
            record.line("client: hands in " + lot + " at " + node.name + " -> " + answer.status() + " " + answer.body());
            if (answer.status() == 202) {
                return true;
            }
            Thread.sleep(400);
        }
        return false;
    }
}
