package ringspindle.controlplane;

import ringspindle.controlplane.fleet.FleetState;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.Outcomes;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** Handles reports about load and requests. Thread safe and stateless. */
final class LoadHandler {
    private final FleetState fleet;

    LoadHandler(FleetState fleet) {
        this.fleet = fleet;
    }

    /** Handles a report on engines from a data node or from a control node of this region. */
    void received(NodeId from, Report report, long nowMs) {
        synchronized (fleet.lock) {
            fleet.loads().onReport(from, report, nowMs);
        }
    }

    /** Handles the request ledger of a data node. */
    void received(NodeId from, LedgerReport report) {
        synchronized (fleet.lock) {
            fleet.ledgerReports().put(from, report);
        }
    }

    /** Handles experiment outcomes counted by a data node or summed by a control node. */
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

    /** Handles the load of another region. */
    void received(Load load, long nowMs) {
        synchronized (fleet.lock) {
            fleet.loads().onRegionLoads(load, nowMs);
        }
    }
}
