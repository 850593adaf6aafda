package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.util.ArrayList;
import ringspindle.controlplane.ControlNode;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;

/** The operators' page of roll-outs. Tools parse it, so its member names and their order are fixed. */
public final class RolloutsPage {
    private static final JsonProvider JSON = JsonProvider.provider();

    private RolloutsPage() {}

    /** Renders the page from the current state. */
    public static JsonObject of(ControlNode node) {
        JsonArrayBuilder rollouts = JSON.createArrayBuilder();
        for (Fact fact : node.fleet().read(store -> new ArrayList<>(store.all(FactKind.ROLLOUT)))) {
            try (JsonReader reader = JSON.createReader(new StringReader(new String(fact.value(), UTF_8)))) {
                rollouts.add(reader.readObject());
            }
        }
        return JSON.createObjectBuilder().add("rollouts", rollouts).build();
    }
}
