package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObject;
import jakarta.json.spi.JsonProvider;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.ControlNode;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.replication.CallKind;
import ringspindle.replication.VersionRollout;

/** Starts roll-outs of software versions of services, and reports their progress. */
final class VersionResource {
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int MAX_BODY_BYTES = 64 << 10;

    private final ControlNode node;

    VersionResource(ControlNode node) {
        this.node = node;
    }

    /** Starts a roll-out. */
    void start(ApiExchange exchange) {
        exchange.readBody(MAX_BODY_BYTES, body -> {
            if (!node.serving().majorityReachable()) {
                exchange.respond(Outcome.UNCLEAR);
                return;
            }
            if (FleetConfig.json(body) instanceof Validated.Valid<JsonObject> json
                    && !json.value().getString("service", "").isEmpty()) {
                String service = json.value().getString("service");
                node.replication().call(CallKind.VERSION, 0, service, body, exchange::respond);
            } else {
                exchange.respond(Outcome.INVALID, "a service is to be named".getBytes(UTF_8));
            }
        });
    }

    /** Responds with the state of a roll-out. */
    void get(ApiExchange exchange) {
        if (!node.serving().upToDate()) {
            exchange.respond(Outcome.UNCLEAR);
            return;
        }
        Fact fact = node.fleet().read(store -> store.get(FactKind.VERSION, exchange.argument()));
        if (fact == null) {
            exchange.respond(Outcome.NO_SUCH);
            return;
        }
        VersionRollout rollout = VersionRollout.read(new String(fact.value(), UTF_8));
        exchange.respond(JSON.createObjectBuilder()
                .add("state", rollout.status().externalName())
                .add("targetRevision", rollout.targetRevision())
                .build());
    }
}
