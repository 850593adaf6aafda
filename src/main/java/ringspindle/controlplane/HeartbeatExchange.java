package ringspindle.controlplane;

import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** Sends this node's heartbeats and handles those of peers. Thread safe; without state of its own. */
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

    /** Tells a peer how this node is. */
    void send(NodeId to) {
        ReplicationDriver.Status status = replication.status();
        NodeFlags flags = flags(status.blank());
        synchronized (fleet.lock) {
            long digest = fleet.facts().store().digest();
            context.mesh()
                    .send(
                            to,
                            fleet.sessions()
                                    .nextHeartbeat(
                                            to, flags, status.epoch(), status.sequence(), digest, context.nowMs()));
        }
    }

    private NodeFlags flags(boolean blank) {
        return (serving.leaving() ? NodeFlags.LEAVING : NodeFlags.READY)
                .and(NodeFlags.QUORATE.when(serving.quorate()))
                .and(NodeFlags.RELEARNING.when(blank))
                .and(NodeFlags.COUNTERS)
                .and(NodeFlags.FRAGMENTS);
    }

    /** A peer's heartbeat came. */
    void received(NodeId from, Heartbeat heartbeat, long nowMs) {
        synchronized (fleet.lock) {
            fleet.sessions().received(from, heartbeat, nowMs);
            SessionTable.Peer peer = fleet.sessions().peer(from);
            if (peer != null) {
                noted(peer, heartbeat);
            }
        }
        if (heartbeat.echo() == 0) {
            // a new connection: the sooner both know that they hear each other, the better
            send(from);
        }
    }

    /** Called with the fleet's lock held. */
    private void noted(SessionTable.Peer peer, Heartbeat heartbeat) {
        if (peer.hello().kind() != NodeKind.CONTROL) {
            fleet.dataNodes().onHeartbeat(peer, heartbeat);
        }
        fleet.dissemination().onHeartbeat(peer.hello().node(), heartbeat.digest());
    }
}
