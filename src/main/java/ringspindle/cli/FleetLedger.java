package ringspindle.cli;

import jakarta.json.Json;
import jakarta.json.JsonArray;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What several control nodes report of data nodes, merged: each incarnation of a node counts once, by its newest
 * report. Has no effects outside itself.
 */
final class FleetLedger {
    private record Node(String address, String name, String region, long incarnation, boolean inTouch) {
        static Node of(JsonObject json) {
            return new Node(
                    json.getString("node"),
                    json.getString("name"),
                    json.getString("region"),
                    number(json, "life"),
                    json.getBoolean("inTouch"));
        }

        /** The newer incarnation, or of one incarnation the one that is in touch. */
        static Node newest(Node one, Node other) {
            if (one.incarnation != other.incarnation) {
                return one.incarnation > other.incarnation ? one : other;
            }
            return one.inTouch ? one : other;
        }
    }

    /**
     * Which rules the nodes of a region follow.
     *
     * @param follow names of nodes that follow the committed rules
     * @param other names and revisions of nodes that follow others
     * @param unheard names of nodes in touch that no report came from
     * @param notInTouch names of nodes out of touch
     */
    record Region(String name, List<String> follow, List<String> other, List<String> unheard, List<String> notInTouch) {
        private Region(String name) {
            this(name, new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        }
    }

    /** A request class under a revision of the rules. */
    record ClassKey(long revision, String requestClass) implements Comparable<ClassKey> {
        private static final Comparator<ClassKey> ORDER =
                Comparator.comparingLong(ClassKey::revision).thenComparing(ClassKey::requestClass);

        @Override
        public int compareTo(ClassKey other) {
            return ORDER.compare(this, other);
        }
    }

    /** The counters of a class, summed over all nodes. */
    record ClassTotals(ClassKey key, Map<LedgerCounter, Long> counts) {
        private ClassTotals(ClassKey key) {
            this(key, new EnumMap<>(LedgerCounter.class));
        }

        /** A counter's value, 0 if no report holds it. */
        long count(LedgerCounter counter) {
            return counts.getOrDefault(counter, 0L);
        }
    }

    private long revision;
    private String digest = "";
    private final Set<String> idle = new TreeSet<>();
    private final Map<String, Node> nodes = new TreeMap<>();
    /** Newest report of each incarnation. */
    private final Map<String, JsonObject> reports = new TreeMap<>();

    /** Adds what one control node reports; the order of control nodes does not matter. */
    FleetLedger add(JsonObject report) {
        if (number(report, "revision") >= revision) {
            revision = number(report, "revision");
            digest = report.getString("digest");
            idle.clear();
            report.getJsonArray("idle").getValuesAs(JsonString.class).forEach(rule -> idle.add(rule.getString()));
        }
        for (JsonObject json : report.getJsonArray("nodes").getValuesAs(JsonObject.class)) {
            Node node = Node.of(json);
            nodes.merge(node.address(), node, Node::newest);
        }
        for (JsonObject ledger : report.getJsonArray("ledgers").getValuesAs(JsonObject.class)) {
            reports.merge(key(ledger.getString("node"), number(ledger, "life")), ledger, FleetLedger::newest);
        }
        return this;
    }

    private static String key(String node, long incarnation) {
        return node + " " + incarnation;
    }

    private static JsonObject newest(JsonObject one, JsonObject other) {
        return number(one, "seq") >= number(other, "seq") ? one : other;
    }

    private static long number(JsonObject json, String field) {
        return json.getJsonNumber(field).longValue();
    }

    /** The newest committed revision of the rules that any control node reports, 0 for none. */
    long revision() {
        return revision;
    }

    /** Names of rules that apply to no route. */
    Set<String> idle() {
        return idle;
    }

    /** The regions by name, with the rules that their nodes follow. */
    List<Region> regions() {
        Map<String, Region> regions = new TreeMap<>();
        for (Node node : nodes.values()) {
            Region region = regions.computeIfAbsent(node.region(), Region::new);
            JsonObject report = reports.get(key(node.address(), node.incarnation()));
            if (!node.inTouch()) {
                region.notInTouch().add(node.name());
            } else if (report == null) {
                region.unheard().add(node.name());
            } else if (followsCommittedRules(report)) {
                region.follow().add(node.name());
            } else {
                region.other().add(node.name() + " at " + report.get("revision"));
            }
        }
        return new ArrayList<>(regions.values());
    }

    private boolean followsCommittedRules(JsonObject report) {
        return number(report, "revision") == revision
                && (revision == 0 || report.getString("digest").equals(digest));
    }

    /** True if every node in touch has reported and follows the committed rules. */
    boolean allFollow() {
        return regions().stream()
                .allMatch(region -> region.other().isEmpty() && region.unheard().isEmpty());
    }

    /**
     * The totals by revision and class. What was in progress in an incarnation that has ended, or is out of touch, is
     * unknown and not in progress.
     */
    List<ClassTotals> totals() {
        Map<ClassKey, ClassTotals> totals = new TreeMap<>();
        for (JsonObject report : reports.values()) {
            boolean current = isCurrent(report);
            for (JsonObject row : report.getJsonArray("rows").getValuesAs(JsonObject.class)) {
                ClassKey key = new ClassKey(number(row, "revision"), row.getString("class"));
                addRow(totals.computeIfAbsent(key, ClassTotals::new), row, current);
            }
        }
        return new ArrayList<>(totals.values());
    }

    private boolean isCurrent(JsonObject report) {
        Node node = nodes.get(report.getString("node"));
        return node != null && node.inTouch() && node.incarnation() == number(report, "life");
    }

    private static void addRow(ClassTotals totals, JsonObject row, boolean current) {
        for (LedgerCounter reported : LedgerCounter.REPORTED) {
            LedgerCounter counter =
                    reported == LedgerCounter.IN_PROGRESS && !current ? LedgerCounter.UNKNOWN : reported;
            totals.counts().merge(counter, number(row, reported.field()), Long::sum);
        }
    }

    /** The laws of counting that a node's report breaks, and those that the totals break. */
    List<String> brokenLaws() {
        List<String> broken = new ArrayList<>();
        for (JsonObject report : reports.values()) {
            String where = " at " + report.getString("node") + " life " + report.get("life");
            report.getJsonArray("broken")
                    .getValuesAs(JsonString.class)
                    .forEach(law -> broken.add(law.getString() + where));
        }
        for (ClassTotals totals : totals()) {
            long accounted =
                    LedgerCounter.STATES.stream().mapToLong(totals::count).sum();
            if (accounted != totals.count(LedgerCounter.ADMITTED)) {
                ClassKey key = totals.key();
                broken.add("SUM over all nodes of " + key.requestClass() + " at " + key.revision());
            }
        }
        return broken;
    }

    /** The totals as JSON, one object a class. */
    JsonArray totalsJson() {
        JsonArrayBuilder array = Json.createArrayBuilder();
        for (ClassTotals totals : totals()) {
            JsonObjectBuilder row = Json.createObjectBuilder()
                    .add("revision", totals.key().revision())
                    .add("class", totals.key().requestClass());
            for (LedgerCounter counter : LedgerCounter.values()) {
                row.add(counter.field(), totals.count(counter));
            }
            array.add(row);
        }
        return array.build();
    }

    /** The regions as JSON, one object each. */
    JsonArray regionsJson() {
        JsonArrayBuilder array = Json.createArrayBuilder();
        for (Region region : regions()) {
            array.add(Json.createObjectBuilder()
                    .add("region", region.name())
                    .add("follow", region.follow().size())
                    .add("other", String.join(", ", region.other()))
                    .add("unheard", String.join(", ", region.unheard()))
                    .add("notInTouch", String.join(", ", region.notInTouch())));
        }
        return array.build();
    }
}
