package ringspindle.controlplane.server;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.spi.JsonProvider;
import java.util.List;
import ringspindle.api.Outcome;
import ringspindle.controlplane.ControlNode;

/** Tells clients the addresses of data nodes. */
final class ResolutionResource implements ApiResource {
    private static final JsonProvider JSON = JsonProvider.provider();
    /** No client keeps addresses for longer, so that a data node that leaves is soon left alone. */
    private static final int TTL_MAX_S = 2;

    private final ControlNode node;

    ResolutionResource(ControlNode node) {
        this.node = node;
    }

    @Override
    public void handle(ApiExchange exchange) {
        List<String> addresses = node.queries()
                .resolve(exchange.query("name"), exchange.query("region"), exchange.query("zone"))
                .addresses();
        if (addresses.isEmpty()) {
            exchange.respond(Outcome.UNCLEAR);
            return;
        }
        JsonArrayBuilder array = JSON.createArrayBuilder();
        addresses.forEach(array::add);
        exchange.respond(JSON.createObjectBuilder()
                .add("addresses", array)
                .add("ttlS", Math.min(TTL_MAX_S, node.config().ttlS()))
                .build());
    }
}
