package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.util.ArrayList;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.membership.DataNodeFact;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.LedgerRow;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.replication.MarkKind;
import ringspindle.routing.RequestLedger;
import ringspindle.routing.ServingRules;
import ringspindle.telemetry.AttemptCounts;
import ringspindle.telemetry.LoadSummary;

/** What a control node tells the operator of the fleet, as JSON. */
final class FleetStatus {
    private static final JsonProvider JSON = JsonProvider.provider();

    private FleetStatus() {}

    static JsonObject status(ControlNode c) {
        JsonObjectBuilder out = JSON.createObjectBuilder()
                .add("node", c.config().name())
                .add("quorate", c.quorate())
                .add("founding", c.founding())
                .add("provenAgoMs", c.provenAgoMs())
                .add("awaited", c.awaited().name());
        View v = c.view();
        if (v != null) {
            JsonArrayBuilder voters = JSON.createArrayBuilder();
            v.voters().forEach(n -> voters.add(n.toString()));
            JsonArrayBuilder chain = JSON.createArrayBuilder();
            v.chain().forEach(n -> chain.add(n.toString()));
            out.add(
                    "view",
                    JSON.createObjectBuilder()
                            .add("epoch", v.epoch())
                            .add("voters", voters)
                            .add("chain", chain));
            out.add(
                    "duties",
                    JSON.createObjectBuilder()
                            .add(
                                    "leases",
                                    JSON.createObjectBuilder()
                                            .add("holder", v.head().toString())
                                            .add("epoch", v.epoch())));
        }
        State s = c.committed();
        if (s != null) {
            out.add("seq", s.seq());
        }
        if (s != null && c.upToDate()) {
            // what this node holds may be old while no majority is proven
            out.add("revision", s.revision());
            JsonArrayBuilder evacuated = JSON.createArrayBuilder();
            for (Mark m : s.marks()) {
                if (MarkKind.EVACUATED.marks(m) && m.value().equals("on")) {
                    evacuated.add(m.key());
                }
            }
            out.add("evacuated", evacuated);
        }
        JsonArrayBuilder sessions = JSON.createArrayBuilder();
        c.sessions().forEach(row -> sessions.add(JSON.createObjectBuilder(row)));
        out.add("sessions", sessions);
        JsonArrayBuilder holders = JSON.createArrayBuilder();
        c.holders()
                .forEach(h -> holders.add(JSON.createObjectBuilder()
                        .add("node", h.node().toString())
                        .add("epoch", h.epoch())
                        .add("seq", h.seq())
                        .add("blank", h.blank())));
        out.add("holders", holders);
        JsonArrayBuilder nodes = JSON.createArrayBuilder();
        for (Fact i : c.book(b -> new ArrayList<>(b.all(FactKind.NODE)))) {
            DataNodeFact r = DataNodeFact.of(i.value());
            Hello h = r.hello();
            nodes.add(JSON.createObjectBuilder()
                    .add("name", h.name())
                    .add("zone", h.zone())
                    .add("frontend", new NodeId(h.front()).toString())
                    .add("ready", r.flags().has(NodeFlags.READY))
                    .add("leaving", r.flags().has(NodeFlags.LEAVING))
                    .add("via", r.via().toString()));
        }
        return out.add("nodes", nodes).build();
    }

    /** What nodes that report here say of their actions and rules, and which nodes there are. */
    static JsonObject ledger(ControlNode c) {
        JsonObjectBuilder out =
                JSON.createObjectBuilder().add("node", c.config().name());
        State s = c.committed();
        Mark m = s == null
                ? null
                : s.marks().stream().filter(MarkKind.RULES::marks).findFirst().orElse(null);
        ServingRules rules =
                m != null && ServingRules.read(m.value().getBytes(UTF_8)) instanceof Validated.Valid<ServingRules> good
                        ? good.value()
                        : null;
        out.add("revision", rules == null ? 0 : rules.revision())
                .add("digest", rules == null ? "" : Long.toHexString(rules.digest()));
        JsonArrayBuilder idle = JSON.createArrayBuilder();
        if (rules != null
                && s.config().length > 0
                && FleetConfig.read(FleetConfig.unpack(s.config())) instanceof Validated.Valid<FleetConfig> f) {
            rules.idle(f.value()).forEach(idle::add);
        }
        out.add("idle", idle);
        JsonArrayBuilder nodes = JSON.createArrayBuilder();
        c.roster()
                .forEach((r, holds) -> nodes.add(JSON.createObjectBuilder()
                        .add("node", r.hello().node().toString())
                        .add("name", r.hello().name())
                        .add("zone", r.hello().zone())
                        .add("region", r.hello().region())
                        .add("life", r.hello().life())
                        .add("inTouch", holds)));
        out.add("nodes", nodes);
        JsonArrayBuilder lives = JSON.createArrayBuilder();
        c.ledgers()
                .forEach((node, of) -> of.forEach(l -> {
                    LedgerReport x = l.report();
                    JsonArrayBuilder rows = JSON.createArrayBuilder();
                    for (LedgerRow w : x.rows()) {
                        rows.add(JSON.createObjectBuilder()
                                .add("revision", w.revision())
                                .add("class", w.cls())
                                .add("admitted", w.admitted())
                                .add("inProgress", w.inProgress())
                                .add("completed", w.completed())
                                .add("clientGone", w.clientGone())
                                .add("overdue", w.overdue())
                                .add("nodeEnds", w.nodeEnds())
                                .add("givenUp", w.givenUp())
                                .add("sent", w.sent())
                                .add("notRun", w.notRun())
                                .add("mayHaveRun", w.mayHaveRun())
                                .add("resumed", w.resumed())
                                .add("runTwice", w.runTwice()));
                    }
                    JsonArrayBuilder broken = JSON.createArrayBuilder();
                    RequestLedger.broken(x).forEach(b -> broken.add(b.name()));
                    lives.add(JSON.createObjectBuilder()
                            .add("node", node.toString())
                            .add("life", x.life())
                            .add("seq", x.seq())
                            .add("revision", x.revision())
                            .add("digest", Long.toHexString(x.digest()))
                            .add("broken", broken)
                            .add("rows", rows));
                }));
        return out.add("ledgers", lives).build();
    }

    static JsonObject rollouts(ControlNode c) {
        JsonArrayBuilder out = JSON.createArrayBuilder();
        for (Fact i : c.book(b -> new ArrayList<>(b.all(FactKind.ROLLOUT)))) {
            out.add(JSON.createReader(new java.io.StringReader(new String(i.value(), UTF_8)))
                    .readObject());
        }
        return JSON.createObjectBuilder().add("rollouts", out).build();
    }

    static JsonObject engines(ControlNode c) {
        JsonArrayBuilder out = JSON.createArrayBuilder();
        LoadSummary total = c.total();
        for (Fact i : c.book(b -> new ArrayList<>(b.all(FactKind.ENGINE)))) {
            Engine e = (Engine) Codec.decode(i.value());
            Fact leaving = c.book(b -> b.get(FactKind.LEAVING, i.key()));
            long ageMs = Math.min(Integer.MAX_VALUE, c.ageMs(FactKind.ENGINE, i.key()));
            AttemptCounts t = total.all(LoadSummary.key(i.key()));
            Fact turn = c.ageMs(FactKind.TURN, i.key()) < 3000 ? c.book(b -> b.get(FactKind.TURN, i.key())) : null;
            out.add(JSON.createObjectBuilder()
                    .add("turn", turn == null ? "" : new String(turn.value(), UTF_8))
                    .add("id", i.key())
                    .add("service", e.service())
                    .add("address", e.address())
                    .add("zone", e.zone())
                    .add("region", c.config().regionOf(e.zone()))
                    .add("revision", e.revision())
                    .add("weights", e.weights())
                    .add("state", leaving == null ? "ready" : new String(leaving.value(), UTF_8))
                    .add("beatAgeMs", ageMs)
                    .add("callSeq", i.version())
                    .add("running", t.running())
                    .add("answered", t.answered())
                    .add("failed", t.failed()));
        }
        return JSON.createObjectBuilder().add("engines", out).build();
    }
}
