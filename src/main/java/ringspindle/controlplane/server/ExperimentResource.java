package ringspindle.controlplane.server;

import ringspindle.controlplane.ControlNode;
import ringspindle.experiment.ExperimentDocument;
import ringspindle.replication.CallKind;

/** Takes the operators' orders on experiments. */
final class ExperimentResource implements ApiResource {
    /** An order holds a document and little more. */
    private static final int BODY_MAX = ExperimentDocument.MAX_BYTES + 1024;

    private final ControlNode node;

    ExperimentResource(ControlNode node) {
        this.node = node;
    }

    @Override
    public void handle(ApiExchange exchange) {
        exchange.readBody(BODY_MAX, body -> node.replication()
                .call(CallKind.EXPERIMENT, 0, exchange.argument(), body, exchange::respond));
    }
}
