package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.util.ArrayList;
import ringspindle.controlplane.ControlNode;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.telemetry.AttemptCounts;
import ringspindle.telemetry.EngineKey;
import ringspindle.telemetry.LoadSummary;

/** The operators' page of engines. Tools parse it, so its member names and their order are fixed. */
public final class EnginesPage {
    private static final JsonProvider JSON = JsonProvider.provider();
    /** The progress of an engine in a roll-out step is shown for this long after its last update. */
    private static final int TURN_TTL_MS = 3000;

    private EnginesPage() {}

    /** Renders the page from the current state. */
    public static JsonObject of(ControlNode node) {
        LoadSummary load = node.queries().load();
        JsonArrayBuilder engines = JSON.createArrayBuilder();
        for (Fact fact : node.fleet().read(store -> new ArrayList<>(store.all(FactKind.ENGINE)))) {
            engines.add(engine(node, fact, load));
        }
        return JSON.createObjectBuilder().add("engines", engines).build();
    }

    private static JsonObjectBuilder engine(ControlNode node, Fact fact, LoadSummary load) {
        String id = fact.key();
        Engine engine = (Engine) Codec.decode(fact.value());
        Fact leaving = node.fleet().read(store -> store.get(FactKind.LEAVING, id));
        long ageMs = Math.min(Integer.MAX_VALUE, node.queries().ageMs(FactKind.ENGINE, id));
        AttemptCounts counts = load.counts(EngineKey.of(id));
        return JSON.createObjectBuilder()
                .add("turn", turn(node, id))
                .add("id", id)
                .add("service", engine.service())
                .add("address", engine.address())
                .add("zone", engine.zone())
                .add("region", node.config().regionOf(engine.zone()))
                .add("revision", engine.revision())
                .add("weights", engine.weights())
                .add("state", leaving == null ? "ready" : new String(leaving.value(), UTF_8))
                .add("beatAgeMs", ageMs)
                .add("callSeq", fact.version())
                .add("running", counts.running())
                .add("answered", counts.answered())
                .add("failed", counts.failed());
    }

    private static String turn(ControlNode node, String id) {
        if (node.queries().ageMs(FactKind.TURN, id) >= TURN_TTL_MS) {
            return "";
        }
        Fact turn = node.fleet().read(store -> store.get(FactKind.TURN, id));
        return turn == null ? "" : new String(turn.value(), UTF_8);
    }
}
