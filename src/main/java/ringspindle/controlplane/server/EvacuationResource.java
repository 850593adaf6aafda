package ringspindle.controlplane.server;

import ringspindle.api.Outcome;
import ringspindle.controlplane.ControlNode;
import ringspindle.replication.CallKind;

/** Takes zones out of service and returns them to service. */
final class EvacuationResource {
    private final ControlNode node;

    EvacuationResource(ControlNode node) {
        this.node = node;
    }

    /** Takes a zone out of service. */
    void evacuate(ApiExchange exchange) {
        commit(exchange, CallKind.EVACUATE);
    }

    /** Returns a zone to service. */
    void restore(ApiExchange exchange) {
        commit(exchange, CallKind.RESTORE);
    }

    private void commit(ApiExchange exchange, CallKind kind) {
        if (!node.serving().majorityReachable()) {
            exchange.respond(Outcome.UNCLEAR);
            return;
        }
        String zone = exchange.argument();
        if (!node.config().regionOfZone().containsKey(zone)) {
            exchange.respond(Outcome.NO_SUCH);
            return;
        }
        node.replication().call(kind, 0, zone, ApiExchange.NO_BODY, (outcome, body) -> exchange.respond(outcome));
    }
}
