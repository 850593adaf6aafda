package ringspindle.controlplane.server;

import java.util.OptionalLong;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.controlplane.ControlNode;
import ringspindle.replication.CallKind;

/** Reads and changes the fleet's configuration. */
final class ConfigurationResource {
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final ControlNode node;

    ConfigurationResource(ControlNode node) {
        this.node = node;
    }

    /** Responds with the committed configuration. */
    void get(ApiExchange exchange) {
        node.replication()
                .call(
                        CallKind.READ,
                        0,
                        "",
                        ApiExchange.NO_BODY,
                        (outcome, body) -> exchange.respond(
                                outcome, outcome == Outcome.TAKEN ? FleetConfig.unpack(body) : ApiExchange.NO_BODY));
    }

    /** Replaces the configuration. */
    void put(ApiExchange exchange) {
        change(exchange, CallKind.PUT);
    }

    /** Changes parts of the configuration. */
    void patch(ApiExchange exchange) {
        change(exchange, CallKind.PATCH);
    }

    private void change(ApiExchange exchange, CallKind kind) {
        OptionalLong base = exchange.baseRevision();
        if (base.isEmpty()) {
            exchange.respond(Outcome.MALFORMED);
            return;
        }
        exchange.readBody(
                MAX_BODY_BYTES, body -> node.replication().call(kind, base.getAsLong(), "", body, exchange::respond));
    }
}
