package ringspindle.dataplane;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import ringspindle.config.NodeConfig;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.transport.Mesh;

/**
 * Keeps sessions with two control nodes that hear all news, and gossip with two other data nodes. Owns the control nodes
 * that are known and when a peer was last dialled; guarded by the lock of {@link GossipState}.
 */
final class PeerDialer {
    private static final int CONTROL_SESSIONS = 2;
    /** A control node is not dialled again before so long. */
    private static final int CONTROL_REDIAL_MS = 250;
    /** A data node is dialled again only after more than this. */
    private static final int DATA_REDIAL_MS = 1000;
    /** Control nodes dialled before come after all others, the one dialled longest ago first. */
    private static final long DIALLED_RANK_PER_MS = 1_000_000L;
    /** An identity holds the address above the port. */
    private static final int PORT_BITS = 16;

    private final NodeId me;
    private final Supplier<NodeConfig> config;
    private final Mesh mesh;
    private final GossipState gossip;
    private final Set<NodeId> controlNodes = new TreeSet<>();
    private final Map<NodeId, Long> dialledMs = new HashMap<>();

    PeerDialer(NodeId me, Supplier<NodeConfig> config, Mesh mesh, GossipState gossip) {
        this.me = me;
        this.config = config;
        this.mesh = mesh;
        this.gossip = gossip;
    }

    /** Control nodes that may be dialled as need be. */
    void addControlNodes(Iterable<NodeId> nodes) {
        nodes.forEach(controlNodes::add);
    }

    /** The seeds of the settings are control nodes. */
    void addSeeds(NodeConfig settings) {
        settings.seeds().forEach(seed -> controlNodes.add(seed.at(settings.innerPort())));
    }

    /** Dials one peer of each kind at most. */
    void dial(long nowMs) {
        if (servingControlNodes() < CONTROL_SESSIONS) {
            dialControlNode(nowMs);
        }
        dialDataNode(nowMs);
    }

    private int servingControlNodes() {
        int serving = 0;
        for (SessionTable.Peer peer : gossip.sessions().peers()) {
            serving += peer.serves() ? 1 : 0;
        }
        return serving;
    }

    /** The nearest first: the address decides, so that nodes of a zone prefer the same machines. */
    private void dialControlNode(long nowMs) {
        NodeId best = null;
        long bestRank = Long.MAX_VALUE;
        for (NodeId node : controlNodes) {
            Long lastMs = dialledMs.get(node);
            if (mesh.connected(node) || (lastMs != null && nowMs - lastMs < CONTROL_REDIAL_MS)) {
                continue;
            }
            long distance = Math.abs((node.bits() >>> PORT_BITS) - (me.bits() >>> PORT_BITS));
            long rank = lastMs == null ? distance : distance + lastMs * DIALLED_RANK_PER_MS;
            if (rank < bestRank) {
                bestRank = rank;
                best = node;
            }
        }
        if (best != null) {
            dial(best, nowMs);
        }
    }

    /** The next data node on the ring of this region; the one before dials here. */
    private void dialDataNode(long nowMs) {
        NodeId next = nextOnRing();
        if (next != null && !mesh.connected(next) && nowMs - dialledMs.getOrDefault(next, 0L) > DATA_REDIAL_MS) {
            dial(next, nowMs);
        }
    }

    /** The ready data node of this region whose identity follows this node's; after the last comes the first. */
    private NodeId nextOnRing() {
        NodeId next = null;
        NodeId first = null;
        for (Fact fact : gossip.facts().all(FactKind.NODE)) {
            DataNodeFact dataNode = DataNodeFact.of(fact.value());
            if (!dataNode.flags().has(NodeFlags.READY)
                    || !dataNode.hello().region().equals(config.get().region())) {
                continue;
            }
            NodeId node = NodeId.of(fact.key());
            if (node.equals(me)) {
                continue;
            }
            if (first == null || node.compareTo(first) < 0) {
                first = node;
            }
            if (node.compareTo(me) > 0 && (next == null || node.compareTo(next) < 0)) {
                next = node;
            }
        }
        return next == null ? first : next;
    }

    private void dial(NodeId node, long nowMs) {
        dialledMs.put(node, nowMs);
        mesh.dial(node);
    }
}
