package ringspindle.controlplane;

import java.util.Collection;
import java.util.Set;
import ringspindle.consensus.Connectivity;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;

/**
 * Who is in touch with whom, as the replicated state asks it during a tick. Takes the fleet's lock for each question, so it
 * may be called with the lock of the {@link ReplicationDriver} held.
 */
final class PeerConnectivity implements Connectivity {
    private final NodeContext context;
    private final FleetState fleet;
    private final ServingState serving;
    private final Set<NodeId> live;

    /** {@code live} are the control nodes that this node is in touch with as of this tick. */
    PeerConnectivity(NodeContext context, FleetState fleet, ServingState serving, Set<NodeId> live) {
        this.context = context;
        this.fleet = fleet;
        this.serving = serving;
        this.live = live;
    }

    @Override
    public boolean connected(NodeId first, NodeId second) {
        synchronized (fleet.lock) {
            return fleet.sessions().linked(first, second);
        }
    }

    @Override
    public Collection<NodeId> liveNodes() {
        return live;
    }

    @Override
    public boolean leaving(NodeId node) {
        return node.equals(context.self()) ? serving.leaving() : announces(node, NodeFlags.LEAVING);
    }

    @Override
    public boolean relearning(NodeId node) {
        return !node.equals(context.self()) && announces(node, NodeFlags.RELEARNING);
    }

    private boolean announces(NodeId node, NodeFlags flag) {
        synchronized (fleet.lock) {
            SessionTable.Peer peer = fleet.sessions().peer(node);
            return peer != null && peer.heartbeat().flags().has(flag);
        }
    }

    @Override
    public String failureDomain(NodeId node) {
        if (node.equals(context.self())) {
            return context.config().region();
        }
        synchronized (fleet.lock) {
            SessionTable.Peer peer = fleet.sessions().peer(node);
            return peer == null ? "" : peer.hello().region();
        }
    }
}
