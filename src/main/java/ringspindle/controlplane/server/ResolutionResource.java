package ringspindle.controlplane.server;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.spi.JsonProvider;
import ringspindle.api.Outcome;
import ringspindle.controlplane.ControlNode;
import ringspindle.controlplane.fleet.Resolution;

/** Tells clients the addresses of data nodes. */
final class ResolutionResource implements ApiResource {
    private static final JsonProvider JSON = JsonProvider.provider();
    /** No client keeps addresses for longer, so that a data node that leaves is soon left alone. */
    private static final int TTL_MAX_S = 2;
    /** Where all data nodes of a region shut down, the named one goes as soon as another is back. */
    private static final int TTL_LEAVING_S = 1;

    private final ControlNode node;

    ResolutionResource(ControlNode node) {
        this.node = node;
    }

    @Override
    public void handle(ApiExchange exchange) {
        Resolution resolution =
                node.queries().resolve(exchange.query("name"), exchange.query("region"), exchange.query("zone"));
        if (resolution.addresses().isEmpty()) {
            exchange.respond(Outcome.UNCLEAR);
            return;
        }
        JsonArrayBuilder array = JSON.createArrayBuilder();
        resolution.addresses().forEach(array::add);
        exchange.respond(JSON.createObjectBuilder()
                .add("addresses", array)
                .add("ttlS", Math.min(ttlMaxS(resolution.scope()), node.config().ttlS()))
                .build());
    }

    private static int ttlMaxS(Resolution.Scope scope) {
        return scope == Resolution.Scope.LEAVING ? TTL_LEAVING_S : TTL_MAX_S;
    }
}
