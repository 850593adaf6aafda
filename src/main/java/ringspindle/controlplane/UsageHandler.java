package ringspindle.controlplane;

import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.metering.UsageLedger;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.TenantMessage.UsageReport;

/** Records usage reports of data nodes and forwards them to the head of the view. Thread safe and stateless. */
final class UsageHandler {
    private final NodeContext context;
    private final ReplicationDriver replication;
    private final UsageLedger ledger;

    UsageHandler(NodeContext context, ReplicationDriver replication, UsageLedger ledger) {
        this.context = context;
        this.replication = replication;
        this.ledger = ledger;
    }

    /** Handles a report sent by a data node or forwarded by another control node. */
    void received(NodeId from, UsageReport report) {
        ledger.add(report);
        View view = replication.view();
        boolean fromDataNode = report.origin().equals(from);
        if (fromDataNode && view != null && !view.head().equals(context.self())) {
            context.mesh().send(view.head(), report);
        }
    }
}
