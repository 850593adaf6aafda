package ringspindle.controlplane;

import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** Sends the heartbeats of this node and handles those of peers. Thread safe and stateless. */
final class HeartbeatExchange {
    private final NodeContext context;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final ServingState serving;

    HeartbeatExchange(NodeContext context, FleetState fleet, ReplicationDriver replication, ServingState serving) {
        this.context = context;
        this.fleet = fleet;
        this.replication = replication;
        this.serving = serving;
    }

    /** Sends a peer a heartbeat with the status of this node. */
    void send(NodeId recipient) {
        ReplicationDriver.Status status = replication.status();
        NodeFlags flags = flags(status.relearning());
        synchronized (fleet.lock) {
            long digest = fleet.facts().store().digest();
            context.mesh()
                    .send(
                            recipient,
                            fleet.sessions()
                                    .nextHeartbeat(
                                            recipient,
                                            flags,
                                            status.epoch(),
                                            status.sequence(),
                                            digest,
                                            context.nowMs()));
        }
    }

    private NodeFlags flags(boolean relearning) {
        return (serving.leaving() ? NodeFlags.LEAVING : NodeFlags.READY)
                .and(NodeFlags.QUORATE.when(serving.quorate()))
                .and(NodeFlags.RELEARNING.when(relearning))
                .and(NodeFlags.COUNTERS)
                .and(NodeFlags.FRAGMENTS);
    }

    /** Handles a heartbeat of a peer. */
    void received(NodeId from, Heartbeat heartbeat, long nowMs) {
        synchronized (fleet.lock) {
            fleet.sessions().received(from, heartbeat, nowMs);
            SessionTable.Peer peer = fleet.sessions().peer(from);
            if (peer != null) {
                recordHeartbeat(peer, heartbeat);
            }
        }
        if (heartbeat.echo() == 0) {
            // new connection: reply at once so that both sides learn early that the link works in both directions
            send(from);
        }
    }

    /** Updates data nodes and dissemination from a heartbeat. The caller holds the fleet lock. */
    private void recordHeartbeat(SessionTable.Peer peer, Heartbeat heartbeat) {
        if (peer.hello().kind() != NodeKind.CONTROL) {
            fleet.dataNodes().onHeartbeat(peer, heartbeat);
        }
        fleet.dissemination().onHeartbeat(peer.hello().node(), heartbeat.digest());
    }
}
