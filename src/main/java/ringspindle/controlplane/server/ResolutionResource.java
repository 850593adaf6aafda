package ringspindle.controlplane.server;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.spi.JsonProvider;
import ringspindle.api.Outcome;
import ringspindle.controlplane.ControlNode;
import ringspindle.controlplane.fleet.Resolution;

/** Resolves a host to the addresses of data nodes for a client. */
final class ResolutionResource implements ApiResource {
    private static final JsonProvider JSON = JsonProvider.provider();
    /** Bounds how long clients cache addresses, so that they soon stop using a data node that leaves. */
    private static final int MAX_TTL_S = 2;
    /** While all data nodes of a region shut down, clients must soon move to the first one that is back. */
    private static final int MAX_TTL_LEAVING_S = 1;

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
        JsonArrayBuilder addresses = JSON.createArrayBuilder();
        resolution.addresses().forEach(addresses::add);
        exchange.respond(JSON.createObjectBuilder()
                .add("addresses", addresses)
                .add("ttlS", Math.min(maxTtlS(resolution.scope()), node.config().ttlS()))
                .build());
    }

    private static int maxTtlS(Resolution.Scope scope) {
        return scope == Resolution.Scope.LEAVING ? MAX_TTL_LEAVING_S : MAX_TTL_S;
    }
}
