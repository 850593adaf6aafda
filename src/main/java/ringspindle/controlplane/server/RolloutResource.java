package ringspindle.controlplane.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.spi.JsonProvider;
import java.util.List;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.ControlNode;
import ringspindle.replication.CallKind;
import ringspindle.rollout.RolloutPlanner;

/** Accepts operators' orders for the roll-out of a service. */
final class RolloutResource implements ApiResource {
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final double DEFAULT_FLOOR = 0.5;
    /** The revision of the weights of a service whose engines report none. */
    private static final long UNKNOWN_WEIGHTS = -1;

    private final ControlNode node;

    RolloutResource(ControlNode node) {
        this.node = node;
    }

    @Override
    public void handle(ApiExchange exchange) {
        exchange.readBody(MAX_BODY_BYTES, body -> order(exchange, body));
    }

    private void order(ApiExchange exchange, byte[] body) {
        if (!node.serving().upToDate()) {
            // whether a roll-out can start depends on the engines known here
            exchange.respond(Outcome.UNCLEAR);
            return;
        }
        if (FleetConfig.json(body) instanceof Validated.Valid<JsonObject> json
                && "start".equals(json.value().getString("order", ""))) {
            start(exchange, body, json.value());
        } else {
            commit(exchange, body);
        }
    }

    private void start(ApiExchange exchange, byte[] body, JsonObject order) {
        List<RolloutPlanner.Member> members = node.engines().members(exchange.argument());
        double floor = order.get("floor") instanceof JsonNumber number ? number.doubleValue() : DEFAULT_FLOOR;
        if (!RolloutPlanner.feasible(floor, members)) {
            exchange.respond(Outcome.INVALID, "with this floor some region could never take its turn".getBytes(UTF_8));
            return;
        }
        commit(exchange, order.containsKey("from") ? body : withCurrentWeights(order, members));
    }

    private static byte[] withCurrentWeights(JsonObject order, List<RolloutPlanner.Member> members) {
        long current =
                members.stream().mapToLong(RolloutPlanner.Member::weights).max().orElse(UNKNOWN_WEIGHTS);
        return JSON.createObjectBuilder(order)
                .add("from", current)
                .build()
                .toString()
                .getBytes(UTF_8);
    }

    private void commit(ApiExchange exchange, byte[] order) {
        node.replication().call(CallKind.ROLLOUT, 0, exchange.argument(), order, exchange::respond);
    }
}
