package ringspindle.cli;

import jakarta.json.Json;
import jakarta.json.JsonArray;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What several control nodes say of data nodes, put together: each node and life once, by its newest report. Pure. */
final class FleetLedger {
    private static final String[] COUNTS = {
        "admitted",
        "inProgress",
        "completed",
        "clientGone",
        "overdue",
        "nodeEnds",
        "givenUp",
        "sent",
        "notRun",
        "mayHaveRun",
        "resumed",
        "runTwice"
    };

    private record Node(String address, String name, String region, long life, boolean inTouch) {}

    /** One region's nodes and what they follow. */
    record Region(String name, int follow, List<String> other, List<String> unheard, List<String> notInTouch) {}

    /** A class under a revision, summed over all nodes. */
    record Line(long revision, String cls, Map<String, Long> counts) {}

    private long revision;
    private String digest = "";
    private final Set<String> idle = new TreeSet<>();
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, JsonObject> lives = new TreeMap<>();

    /** {@code new FleetLedger().add(answerOfOne).add(answerOfAnother)}; order does not matter. */
    FleetLedger add(JsonObject o) {
        if (o.getJsonNumber("revision").longValue() >= revision) {
            revision = o.getJsonNumber("revision").longValue();
            digest = o.getString("digest");
            idle.clear();
            o.getJsonArray("idle").getValuesAs(JsonString.class).forEach(n -> idle.add(n.getString()));
        }
        for (JsonObject n : o.getJsonArray("nodes").getValuesAs(JsonObject.class)) {
            Node x = new Node(
                    n.getString("node"),
                    n.getString("name"),
                    n.getString("region"),
                    n.getJsonNumber("life").longValue(),
                    n.getBoolean("inTouch"));
            nodes.merge(
                    x.address(), x, (a, b) -> a.life() != b.life() ? a.life() > b.life() ? a : b : a.inTouch() ? a : b);
        }
        for (JsonObject l : o.getJsonArray("ledgers").getValuesAs(JsonObject.class)) {
            lives.merge(
                    l.getString("node") + " " + l.getJsonNumber("life"),
                    l,
                    (a, b) -> a.getJsonNumber("seq").longValue()
                                    >= b.getJsonNumber("seq").longValue()
                            ? a
                            : b);
        }
        return this;
    }

    long revision() {
        return revision;
    }

    Set<String> idle() {
        return idle;
    }

    private JsonObject newest(Node n) {
        return lives.get(n.address() + " " + n.life());
    }

    /** Regions with the nodes that follow the committed rules, those that follow others, and those not heard. */
    List<Region> regions() {
        Map<String, Region> out = new TreeMap<>();
        for (Node n : nodes.values()) {
            Region r = out.computeIfAbsent(
                    n.region(), k -> new Region(k, 0, new ArrayList<>(), new ArrayList<>(), new ArrayList<>()));
            JsonObject l = newest(n);
            if (!n.inTouch()) {
                r.notInTouch().add(n.name());
            } else if (l == null) {
                r.unheard().add(n.name());
            } else if (l.getJsonNumber("revision").longValue() == revision
                    && (revision == 0 || l.getString("digest").equals(digest))) {
                out.put(n.region(), new Region(r.name(), r.follow() + 1, r.other(), r.unheard(), r.notInTouch()));
            } else {
                r.other().add(n.name() + " at " + l.get("revision"));
            }
        }
        return new ArrayList<>(out.values());
    }

    /** True if every node that is in touch was heard and follows the committed rules. */
    boolean all() {
        return regions().stream()
                .allMatch(r -> r.other().isEmpty() && r.unheard().isEmpty());
    }

    /** Counts of every life; what was in progress in a life that is over, or out of touch, is unknown and not in progress. */
    List<Line> lines() {
        Map<String, Line> out = new TreeMap<>();
        lives.values().forEach(l -> {
            Node n = nodes.get(l.getString("node"));
            boolean current = n != null
                    && n.inTouch()
                    && n.life() == l.getJsonNumber("life").longValue();
            for (JsonObject r : l.getJsonArray("rows").getValuesAs(JsonObject.class)) {
                long rev = r.getJsonNumber("revision").longValue();
                Line line = out.computeIfAbsent(
                        String.format("%020d %s", rev, r.getString("class")),
                        k -> new Line(rev, r.getString("class"), new LinkedHashMap<>()));
                for (String c : COUNTS) {
                    long v = r.getJsonNumber(c).longValue();
                    line.counts().merge(c.equals("inProgress") && !current ? "unknown" : c, v, Long::sum);
                }
            }
        });
        return new ArrayList<>(out.values());
    }

    /** Every law that some node's ledger breaks, and the laws of the whole. */
    List<String> broken() {
        List<String> out = new ArrayList<>();
        lives.values().forEach(l -> l.getJsonArray("broken")
                .getValuesAs(JsonString.class)
                .forEach(b -> out.add(b.getString() + " at " + l.getString("node") + " life " + l.get("life"))));
        for (Line l : lines()) {
            long sum = 0;
            for (String c :
                    List.of("inProgress", "unknown", "completed", "clientGone", "overdue", "nodeEnds", "givenUp")) {
                sum += l.counts().getOrDefault(c, 0L);
            }
            if (sum != l.counts().getOrDefault("admitted", 0L)) {
                out.add("SUM over all nodes of " + l.cls() + " at " + l.revision());
            }
        }
        return out;
    }

    JsonArray table() {
        JsonArrayBuilder out = Json.createArrayBuilder();
        for (Line l : lines()) {
            JsonObjectBuilder b =
                    Json.createObjectBuilder().add("revision", l.revision()).add("class", l.cls());
            for (String c : List.of(
                    "admitted",
                    "inProgress",
                    "unknown",
                    "completed",
                    "clientGone",
                    "overdue",
                    "nodeEnds",
                    "givenUp",
                    "sent",
                    "notRun",
                    "mayHaveRun",
                    "resumed",
                    "runTwice")) {
                b.add(c, l.counts().getOrDefault(c, 0L));
            }
            out.add(b);
        }
        return out.build();
    }

    JsonArray regionTable() {
        JsonArrayBuilder out = Json.createArrayBuilder();
        for (Region r : regions()) {
            out.add(Json.createObjectBuilder()
                    .add("region", r.name())
                    .add("follow", r.follow())
                    .add("other", String.join(", ", r.other()))
                    .add("unheard", String.join(", ", r.unheard()))
                    .add("notInTouch", String.join(", ", r.notInTouch())));
        }
        return out.build();
    }
}
