package ringspindle.controlplane;

import ringspindle.controlplane.fleet.FleetState;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.Outcomes;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** Handles reports of load and of requests. Thread safe; without state of its own. */
final class LoadHandler {
    private final FleetState fleet;

    LoadHandler(FleetState fleet) {
        this.fleet = fleet;
    }

    /** What a data node, or a control node of this region, saw of engines. */
    void received(NodeId from, Report report, long nowMs) {
        synchronized (fleet.lock) {
            fleet.loads().onReport(from, report, nowMs);
        }
    }

    /** What became of a data node's requests. */
    void received(NodeId from, LedgerReport report) {
        synchronized (fleet.lock) {
            fleet.ledgerReports().put(from, report);
        }
    }

    /** What a data node counted of experiments, or a control node summed. */
    void received(NodeId from, Outcomes outcomes, long nowMs) {
        synchronized (fleet.lock) {
            SessionTable.Peer peer = fleet.sessions().peer(from);
            if (peer == null || peer.hello().life() != outcomes.life()) {
                return;
            }
            if (peer.hello().kind() != NodeKind.CONTROL) {
                fleet.outcomes().reported(from, outcomes);
            } else {
                fleet.outcomes().summed(from, outcomes, nowMs);
            }
        }
    }

    /** Another region's load. */
    void received(Load load, long nowMs) {
        synchronized (fleet.lock) {
            fleet.loads().onRegionLoads(load, nowMs);
        }
    }
}
