package ringspindle.controlplane.server;

import ringspindle.controlplane.ControlNode;
import ringspindle.experiment.ExperimentDocument;
import ringspindle.replication.CallKind;

/** Accepts operators' orders on experiments. */
final class ExperimentResource implements ApiResource {
    /** An order consists of a document and a few short members. */
    private static final int MAX_BODY_BYTES = ExperimentDocument.MAX_BYTES + 1024;

    private final ControlNode node;

    ExperimentResource(ControlNode node) {
        this.node = node;
    }

    @Override
    public void handle(ApiExchange exchange) {
        exchange.readBody(MAX_BODY_BYTES, body -> node.replication()
                .call(CallKind.EXPERIMENT, 0, exchange.argument(), body, exchange::respond));
    }
}
