package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Case: the keys of all tenants are taken away, one after the other. */
final class KeysCase {
    private static final int REVOKE_MS = 5000;
    private static final int GAP_MS = 1500;
    private static final String HOST = "cards.example";

    /** A request with a key: when it was sent and how it was answered. */
    private record Sent(long atMs, String attempt, String key, int status) {}

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final Fleet fleet;
    private final List<Engine.Run> runs = Engine.runs();
    private final List<Sent> sent = new ArrayList<>();

    private KeysCase(Record record) throws Exception {
        this.record = record;
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("ahd-halla", "ahd");
        zones.put("srt-halla", "srt");
        zones.put("rjk-halla", "rjk");
        Map<String, String> bounds = new LinkedHashMap<>();
        bounds.put("loss.nodes", "1");
        bounds.put("bound.contactMs", "4000");
        bounds.put("bound.configMs", "3000");
        bounds.put("bound.retrySlack", "58");
        bounds.put("bound.revocationStrict", "true");
        bounds.put("bound.revokeMs", Integer.toString(REVOKE_MS));
        fleet = new Fleet(record, zones, bounds);
        fleet.add("control-plane", fleet.control, 1, "ahd-halla", "srt-halla", "rjk-halla");
        fleet.add("data-plane", fleet.data, 2, "ahd-halla", "srt-halla", "rjk-halla");
    }

    public static void main(String[] args) throws Exception {
        try (Record record = new Record(Path.of(args[0]))) {
            int code = 2;
            try {
                code = new KeysCase(record).play();
            } catch (Exception failure) {
                record.line("the case could not run: " + failure);
            }
            record.line("exit " + code);
            System.exit(code);
        }
    }

    private static String tenant(String name, String keys) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[" + keys + "]}";
    }

    private int play() throws Exception {
        fleet.start();
        for (int i = 0; i < fleet.control.size(); i++) {
            new Engine(
                    record, "i-" + i, "quote-api", fleet.control.get(i).zone, fleet.ip(9, i + 1), 6, 40, fleet.control, runs);
        }
        String configuration = "{\"revision\":5,\"routes\":[{\"name\":\"r-card\",\"host\":\"" + HOST
                + "\",\"pathPrefix\":\"/card/\",\"routeKind\":\"idempotent\",\"deadlineMs\":2000,\"targetLatencyMs\":300,"
                + "\"priority\":0,\"service\":\"quote-api\",\"maxAttempts\":2,\"homeRegions\":[]}],"
                + "\"services\":[{\"name\":\"quote-api\",\"healthPath\":\"/health\",\"maxConnections\":110,\"warmupS\":0.0,\"warmupPerS\":0.0}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[" + tenant("kaje80", "\"key-of-kaje80\"") + "," + tenant("vopu11", "\"key-of-vopu11\"") + "]}";
        if (!Calls.operator(record, fleet.control, "PUT", "/ringspindle/configuration", Map.of("If-Match", "0"), configuration, 25_000)
                .taken()) {
            fleet.logsTo(record);
            return 2;
        }
        if (!served(20_000)) {
            fleet.logsTo(record);
            return 2;
        }
        round("before");
        long firstGoneMs = Long.MAX_VALUE / 2;
        long secondGoneMs = Long.MAX_VALUE / 2;
        if (trouble) {
            firstGoneMs = revoke(5, 7, "kaje80");
            Thread.sleep(GAP_MS);
            secondGoneMs = revoke(7, 9, "vopu11");
            if (firstGoneMs < 0 || secondGoneMs < 0) {
                return 2;
            }
        } else {
            Thread.sleep(GAP_MS);
        }
        Thread.sleep(REVOKE_MS + 1500);
        round("after");
        Thread.sleep(1000);
        if (!fleet.allRun()) {
            record.line("a process has ended");
            return 2;
        }
        return judge(firstGoneMs, secondGoneMs);
    }

    /** Waits until each data node serves both tenants. */
    private boolean served(int patienceMs) throws InterruptedException {
        long untilMs = record.nowMs() + patienceMs;
        while (record.nowMs() < untilMs) {
            boolean all = true;
            for (Fleet.Node node : fleet.data) {
                all &= request(node, "key-of-kaje80", "warm").status() == 200 && request(node, "key-of-vopu11", "warm").status() == 200;
            }
            if (all) {
                return true;
            }
            Thread.sleep(300);
        }
        return false;
    }

    private void round(String when) throws InterruptedException {
        for (Fleet.Node node : fleet.data) {
            for (String key : List.of("key-of-kaje80", "key-of-vopu11", "key-of-nobody")) {
                sent.add(request(node, key, when));
            }
        }
    }

    private Sent request(Fleet.Node node, String key, String when) throws InterruptedException {
        long atMs = record.nowMs();
        String attempt = when + "-" + atMs + "-" + node.name + "-" + key;
        Calls.Answer answer = Calls.call(
                "POST",
                node.frontend(),
                "/card/2f",
                Map.of("Host", HOST, "Attempt-Id", attempt, "Deadline-Ms", "2000", "Authorization", "Bearer " + key),
                "card",
                2500);
        record.line("client: " + attempt + " sent at " + atMs + " -> " + answer.status() + " Server-Seal=" + answer.seal());
        return new Sent(atMs, attempt, key, answer.status());
    }

    /** Takes the only key of a tenant away; returns when that was acknowledged, -1 if it was not. */
    private long revoke(int base, int revision, String tenant) throws InterruptedException {
        String patch = "{\"revision\":" + revision + ",\"upserts\":{\"tenants\":[" + tenant(tenant, "") + "]},\"removals\":{}}";
        boolean taken = Calls.operator(
                        record, fleet.control, "PATCH", "/ringspindle/configuration", Map.of("If-Match", "" + base), patch, 10_000)
                .taken();
        return taken ? record.nowMs() : -1;
    }

    private int judge(long firstGoneMs, long secondGoneMs) {
        int broken = 0;
        for (Sent request : sent) {
            Engine.Run run = runs.stream().filter(each -> each.attempt().equals(request.attempt())).findFirst().orElse(null);
            boolean before = request.attempt().startsWith("before");
            boolean nobody = request.key().equals("key-of-nobody");
            long goneMs = request.key().equals("key-of-kaje80") ? firstGoneMs : secondGoneMs;
            if (before && !nobody && request.status() != 200) {
                record.line("not served before: " + request);
                return 2;
            }
            if (run == null) {
                continue;
            }
            if (nobody) {
                broken++;
                record.line("BROKEN ROUTE: run with a key that no configuration ever held: " + request);
            } else if (request.atMs() > goneMs + REVOKE_MS) {
                broken++;
                record.line("BROKEN CONFIG: runs " + (request.atMs() - goneMs) + " ms after its key was taken away: " + request);
            }
            if (run.authorization() != null) {
                broken++;
                record.line("BROKEN UNASKED: the key itself was passed on: " + request);
            }
        }
        record.line(broken + " breaks");
        return broken > 0 ? 1 : 0;
    }
}
