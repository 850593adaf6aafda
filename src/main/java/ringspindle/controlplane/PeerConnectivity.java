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
 * Answers queries of the replicated state about links between nodes during a tick. Acquires the fleet lock for each
 * query, so it may be called with the lock of the {@link ReplicationDriver} held.
 */
final class PeerConnectivity implements Connectivity {
    private final NodeContext context;
    private final FleetState fleet;
    private final ServingState serving;
    private final Set<NodeId> live;

    /**
     * Creates a snapshot for one tick.
     *
     * @param live control nodes that have a live link to this node as of this tick
     */
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
        return node.equals(context.self()) ? serving.leaving() : hasFlag(node, NodeFlags.LEAVING);
    }

    @Override
    public boolean relearning(NodeId node) {
        return !node.equals(context.self()) && hasFlag(node, NodeFlags.RELEARNING);
    }

    private boolean hasFlag(NodeId node, NodeFlags flag) {
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
