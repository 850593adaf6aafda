package ringspindle.controlplane.server;

import jakarta.json.spi.JsonProvider;
import ringspindle.api.Outcome;
import ringspindle.controlplane.ControlNode;
import ringspindle.controlplane.StorageNodes;
import ringspindle.protocol.FactKind;
import ringspindle.replication.CallKind;

/** Retires storage nodes: drains them so that they can be removed. */
final class RetirementResource {
    private static final JsonProvider JSON = JsonProvider.provider();

    private final ControlNode node;

    RetirementResource(ControlNode node) {
        this.node = node;
    }

    /** Starts to drain a node. */
    void start(ApiExchange exchange) {
        if (!node.serving().upToDate()) {
            exchange.respond(Outcome.UNCLEAR);
            return;
        }
        String name = exchange.argument();
        StorageNodes nodes = node.storageNodes();
        if (!nodes.isKnown(name)) {
            exchange.respond(Outcome.NO_SUCH);
        } else if (!isRetiring(name) && !nodes.canRemove(name)) {
            exchange.respond(Outcome.CLASH);
        } else {
            node.replication()
                    .call(CallKind.RETIRE, 0, name, ApiExchange.NO_BODY, (outcome, body) -> exchange.respond(outcome));
        }
    }

    private boolean isRetiring(String name) {
        return node.fleet().read(store -> store.get(FactKind.RETIREMENT, name)) != null;
    }

    /** Responds with whether a node has been drained. */
    void get(ApiExchange exchange) {
        if (!node.serving().upToDate()) {
            exchange.respond(Outcome.UNCLEAR);
        } else if (!isRetiring(exchange.argument())) {
            exchange.respond(Outcome.NO_SUCH);
        } else {
            boolean drained = node.storageNodes().isDrained(exchange.argument());
            exchange.respond(JSON.createObjectBuilder()
                    .add("state", drained ? "completed" : "active")
                    .build());
        }
    }
}
