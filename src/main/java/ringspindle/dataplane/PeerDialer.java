package ringspindle.dataplane;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import ringspindle.config.NodeConfig;
import ringspindle.gossip.DecodedFacts;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.transport.Mesh;

/**
 * Keeps sessions with two control nodes that hear all news, in this node's region if there are enough, and gossip with two
 * other data nodes. Owns the control nodes
 * that are known and when a peer was last dialled; guarded by the lock of {@link GossipState}.
 */
final class PeerDialer {
    private static final int CONTROL_SESSIONS = 2;
    /** A nearer control node is dialled in place of one abroad at most this often. */
    private static final int REPLACE_PERIOD_MS = 5000;
    /** A control node is not dialled again before so long. */
    private static final int CONTROL_REDIAL_MS = 250;
    /** A data node is dialled again only after more than this. */
    private static final int DATA_REDIAL_MS = 1000;

    private static final long NOT_COMPUTED = -1;
    /** An identity holds the address above the port. */
    private static final int PORT_BITS = 16;

    private final NodeId me;
    /** A storage node hears from control nodes alone. */
    private final boolean gossips;

    private final Supplier<NodeConfig> config;
    private final Mesh mesh;
    private final GossipState gossip;
    private final Set<NodeId> controlNodes = new TreeSet<>();
    /** Control nodes as a control node named them last, the nearest to this node first. */
    private List<NodeId> nearestFirst = List.of();

    private long replacedMs = SessionTable.NEVER_MS;
    /** The next data node on the ring, null if there is none, as of {@link #ringOfChanges}. */
    private NodeId nextDataNode;

    private long ringOfChanges = NOT_COMPUTED;
    private final Map<NodeId, Long> dialledMs = new HashMap<>();

    PeerDialer(NodeId me, NodeKind kind, Supplier<NodeConfig> config, Mesh mesh, GossipState gossip) {
        this.me = me;
        gossips = kind == NodeKind.DATA;
        this.config = config;
        this.mesh = mesh;
        this.gossip = gossip;
    }

    /** Control nodes that may be dialled as need be. */
    void addControlNodes(Iterable<NodeId> nodes) {
        nodes.forEach(controlNodes::add);
    }

    /** Control nodes that a control node is in touch with, the nearest to this node first; an empty list says nothing. */
    void learnControlNodes(List<NodeId> nodes) {
        addControlNodes(nodes);
        if (!nodes.isEmpty()) {
            nearestFirst = nodes;
        }
    }

    /** The seeds of the settings are control nodes. */
    void addSeeds(NodeConfig settings) {
        settings.seeds().forEach(seed -> controlNodes.add(seed.at(settings.innerPort())));
    }

    /** Dials one peer of each kind at most. */
    void dial(long nowMs) {
        List<SessionTable.Peer> serving = servingControlNodes();
        if (serving.size() < CONTROL_SESSIONS) {
            dialControlNode(nowMs);
        } else if (serving.size() == CONTROL_SESSIONS && nowMs - replacedMs > REPLACE_PERIOD_MS) {
            replacedMs = nowMs;
            dialNearer(serving, nowMs);
        }
        if (gossips) {
            dialDataNode(nowMs);
        }
    }

    private List<SessionTable.Peer> servingControlNodes() {
        List<SessionTable.Peer> serving = new ArrayList<>();
        for (SessionTable.Peer peer : gossip.sessions().peers()) {
            if (peer.serves()) {
                serving.add(peer);
            }
        }
        return serving;
    }

    /** Dials one of the nearest control nodes if there is no session with it and one with a control node abroad. */
    private void dialNearer(List<SessionTable.Peer> serving, long nowMs) {
        if (serving.stream().noneMatch(this::isAbroad)) {
            return;
        }
        nearestFirst.stream()
                .limit(CONTROL_SESSIONS)
                .filter(node -> !mesh.connected(node))
                .findFirst()
                .ifPresent(node -> dial(node, nowMs));
    }

    private boolean isAbroad(SessionTable.Peer peer) {
        return !peer.hello().region().equals(config.get().region());
    }

    /** A control node abroad whose session is not needed any more, as enough nearer ones serve. */
    Optional<NodeId> surplus() {
        List<SessionTable.Peer> serving = servingControlNodes();
        if (serving.size() <= CONTROL_SESSIONS) {
            return Optional.empty();
        }
        return serving.stream()
                .filter(this::isAbroad)
                .map(peer -> peer.hello().node())
                .findFirst();
    }

    /** One not dialled before, the nearest of them; else the one dialled longest ago. */
    private void dialControlNode(long nowMs) {
        controlNodes.stream()
                .filter(node -> !mesh.connected(node) && mayDialAgain(node, nowMs))
                .min(Comparator.comparingLong((NodeId node) -> dialledMs.getOrDefault(node, SessionTable.NEVER_MS))
                        .thenComparingInt(this::nearness)
                        .thenComparingLong(this::distance))
                .ifPresent(node -> dial(node, nowMs));
    }

    private boolean mayDialAgain(NodeId node, long nowMs) {
        return nowMs - dialledMs.getOrDefault(node, SessionTable.NEVER_MS) >= CONTROL_REDIAL_MS;
    }

    /** Its place among those that a control node named, behind all of them if it was not named. */
    private int nearness(NodeId node) {
        int place = nearestFirst.indexOf(node);
        return place < 0 ? Integer.MAX_VALUE : place;
    }

    /** While nothing else is known the address decides, so that nodes of a zone prefer the same machines. */
    private long distance(NodeId node) {
        return Math.abs((node.bits() >>> PORT_BITS) - (me.bits() >>> PORT_BITS));
    }

    /** The next data node on the ring of this region; the one before dials here. */
    private void dialDataNode(long nowMs) {
        long changes = gossip.facts().changes(FactKind.NODE);
        if (changes != ringOfChanges) {
            nextDataNode = nextOnRing();
            ringOfChanges = changes;
        }
        NodeId next = nextDataNode;
        if (next != null && !mesh.connected(next) && nowMs - dialledMs.getOrDefault(next, 0L) > DATA_REDIAL_MS) {
            dial(next, nowMs);
        }
    }

    /** The ready data node of this region whose identity follows this node's; after the last comes the first. */
    private NodeId nextOnRing() {
        NodeId next = null;
        NodeId first = null;
        for (DecodedFacts.Entry<DataNodeFact> entry : gossip.nodes().all()) {
            DataNodeFact dataNode = entry.value();
            if (dataNode.hello().kind() != NodeKind.DATA
                    || !dataNode.flags().has(NodeFlags.READY)
                    || !dataNode.hello().region().equals(config.get().region())) {
                continue;
            }
            NodeId node = NodeId.of(entry.fact().key());
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
