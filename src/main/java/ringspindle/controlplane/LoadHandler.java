package ringspindle.controlplane;

import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.NodeId;

/** Handles reports of load and of requests. Thread safe; without state of its own. */
final class LoadHandler {
    private final FleetState fleet;

    LoadHandler(FleetState fleet) {
        this.fleet = fleet;
    }

    /** What a data node, or a control node of this region, saw of engines. */
    void received(NodeId from, Report report, long nowMs) {
        synchronized (fleet.lock) {
            fleet.loads().reported(from, report, nowMs);
        }
    }

    /** What became of a data node's requests. */
    void received(NodeId from, LedgerReport report) {
        synchronized (fleet.lock) {
            fleet.ledgerReports().put(from, report);
        }
    }

    /** Another region's load. */
    void received(Load load, long nowMs) {
        synchronized (fleet.lock) {
            fleet.loads().heard(load, nowMs);
        }
    }
}
