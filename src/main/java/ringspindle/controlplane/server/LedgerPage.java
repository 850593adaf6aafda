package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.ControlNode;
import ringspindle.controlplane.FleetQueries;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.LedgerRow;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.NodeId;
import ringspindle.replication.MarkKind;
import ringspindle.routing.RequestLedger;
import ringspindle.routing.ServingRules;

/**
 * The operators' page of request ledgers: the data nodes of the fleet, and the requests and rules of those that report
 * to this control node. Tools parse it, so its member names and their order are fixed.
 */
public final class LedgerPage {
    private static final JsonProvider JSON = JsonProvider.provider();

    private LedgerPage() {}

    /** Renders the page from the current state. */
    public static JsonObject of(ControlNode node) {
        State state = node.replication().committed();
        ServingRules rules = rules(state);
        return JSON.createObjectBuilder()
                .add("node", node.config().name())
                .add("revision", rules == null ? 0 : rules.revision())
                .add("digest", rules == null ? "" : Long.toHexString(rules.digest()))
                .add("idle", idleRules(state, rules))
                .add("nodes", dataNodes(node.queries()))
                .add("ledgers", ledgers(node.queries()))
                .build();
    }

    /** The committed rules, null if there are none or if this version cannot parse them. */
    private static ServingRules rules(State state) {
        if (state == null) {
            return null;
        }
        for (Mark mark : state.marks()) {
            if (MarkKind.RULES.matches(mark)) {
                byte[] text = mark.value().getBytes(UTF_8);
                return ServingRules.read(text) instanceof Validated.Valid<ServingRules> valid ? valid.value() : null;
            }
        }
        return null;
    }

    /** The rules that match nothing in the committed configuration. */
    private static JsonArrayBuilder idleRules(State state, ServingRules rules) {
        JsonArrayBuilder idle = JSON.createArrayBuilder();
        if (rules != null
                && state.config().length > 0
                && FleetConfig.read(FleetConfig.unpack(state.config()))
                        instanceof Validated.Valid<FleetConfig> config) {
            rules.rulesWithUnknownRoute(config.value()).forEach(idle::add);
        }
        return idle;
    }

    private static JsonArrayBuilder dataNodes(FleetQueries queries) {
        JsonArrayBuilder nodes = JSON.createArrayBuilder();
        queries.dataNodes()
                .forEach((fact, ready) -> nodes.add(JSON.createObjectBuilder()
                        .add("node", fact.hello().node().toString())
                        .add("name", fact.hello().name())
                        .add("zone", fact.hello().zone())
                        .add("region", fact.hello().region())
                        .add("life", fact.hello().life())
                        .add("inTouch", ready)));
        return nodes;
    }

    private static JsonArrayBuilder ledgers(FleetQueries queries) {
        JsonArrayBuilder ledgers = JSON.createArrayBuilder();
        queries.ledgerReports()
                .forEach((node, entries) -> entries.forEach(entry -> ledgers.add(ledger(node, entry.report()))));
        return ledgers;
    }

    private static JsonObjectBuilder ledger(NodeId node, LedgerReport report) {
        JsonArrayBuilder broken = JSON.createArrayBuilder();
        RequestLedger.violations(report).forEach(invariant -> broken.add(invariant.name()));
        JsonArrayBuilder rows = JSON.createArrayBuilder();
        report.rows().forEach(counts -> rows.add(row(counts)));
        return JSON.createObjectBuilder()
                .add("node", node.toString())
                .add("life", report.life())
                .add("seq", report.seq())
                .add("revision", report.revision())
                .add("digest", Long.toHexString(report.digest()))
                .add("broken", broken)
                .add("rows", rows);
    }

    private static JsonObjectBuilder row(LedgerRow counts) {
        return JSON.createObjectBuilder()
                .add("revision", counts.revision())
                .add("class", counts.cls())
                .add("admitted", counts.admitted())
                .add("inProgress", counts.inProgress())
                .add("completed", counts.completed())
                .add("clientGone", counts.clientGone())
                .add("overdue", counts.overdue())
                .add("nodeEnds", counts.nodeEnds())
                .add("givenUp", counts.givenUp())
                .add("sent", counts.sent())
                .add("notRun", counts.notRun())
                .add("mayHaveRun", counts.mayHaveRun())
                .add("resumed", counts.resumed())
                .add("runTwice", counts.runTwice());
    }
}
