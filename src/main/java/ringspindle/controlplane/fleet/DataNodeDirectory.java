package ringspindle.controlplane.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import ringspindle.gossip.DecodedFacts;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/**
 * Data nodes as known from gossiped facts. The control node that holds a data node's session publishes its fact, which
 * stays valid while that control node is reachable. Also tracks when each other control node was last reachable.
 * Guarded by the fleet's lock.
 */
public final class DataNodeDirectory {
    /** A data node's fact is valid for this long after it changed, whichever control node published it. */
    private static final int CHANGE_VALID_MS = 3000;
    /** A fact is valid for this long after the control node that published it was last reachable. */
    private static final int PUBLISHER_LOST_VALID_MS = 2000;
    /**
     * While this node is isolated, it uses facts of data nodes in other regions for this long after their publisher was
     * last reachable.
     */
    private static final int ISOLATED_VALID_MS = 15_000;

    /** A lost data node keeps its share of the budgets for this long. */
    private static final int LOST_NODE_SHARE_MS = 10_000;

    private final NodeId self;
    private final SessionTable sessions;
    private final FleetFacts facts;
    private final DecodedFacts<DataNodeFact> nodes;
    /** When each other control node was last reachable, as of the last tick. */
    private final Map<NodeId, Long> lastLinkedMs = new HashMap<>();

    DataNodeDirectory(NodeId self, SessionTable sessions, FleetFacts facts) {
        this.self = self;
        this.sessions = sessions;
        this.facts = facts;
        nodes = facts.nodes();
    }

    /**
     * Publishes the session of a data node; publishes it again if it changed or if the control node that published it
     * is unreachable.
     */
    public void onHeartbeat(SessionTable.Peer peer, Heartbeat heartbeat) {
        DecodedFacts.Entry<DataNodeFact> entry = entry(peer);
        DataNodeFact published = entry == null ? null : entry.value();
        boolean unchanged = published != null
                && published.flags() == heartbeat.flags()
                && published.hello().life() == peer.hello().life()
                && (published.via().equals(self) || sessions.linked(self, published.via()));
        if (!unchanged) {
            facts.merge(List.of(fact(peer, heartbeat.flags(), heartbeat.n() * 2)));
        }
    }

    private DecodedFacts.Entry<DataNodeFact> entry(SessionTable.Peer peer) {
        return nodes.get(peer.hello().node().toString());
    }

    /**
     * Publishes that the session of a data node closed, unless the node has a session with another control node that is
     * reachable.
     */
    public void onSessionClosed(SessionTable.Peer peer) {
        if (isPublishedElsewhere(peer)) {
            return;
        }
        facts.merge(List.of(fact(peer, NodeFlags.NONE, peer.heartbeat().n() * 2 + 1)));
    }

    private boolean isPublishedElsewhere(SessionTable.Peer peer) {
        DecodedFacts.Entry<DataNodeFact> entry = entry(peer);
        if (entry == null) {
            return false;
        }
        DataNodeFact published = entry.value();
        return !published.via().equals(self)
                && !published.flags().isEmpty()
                && published.hello().life() == peer.hello().life()
                && sessions.linked(self, published.via());
    }

    private Fact fact(SessionTable.Peer peer, NodeFlags flags, long version) {
        Hello hello = peer.hello();
        return new Fact(
                FactKind.NODE,
                hello.node().toString(),
                incarnation(entry(peer), hello.life()),
                version,
                new DataNodeFact(flags, self, hello).value());
    }

    /**
     * The incarnation to publish. A restarted node must supersede its earlier incarnation, though the number is taken
     * from the wall clock, which may go back.
     */
    private static long incarnation(DecodedFacts.Entry<DataNodeFact> entry, long announced) {
        if (entry == null) {
            return announced;
        }
        boolean restarted = entry.value().hello().life() != announced;
        long published = entry.fact().life();
        return restarted ? Math.max(announced, published + 1) : published;
    }

    /**
     * Data nodes that accept requests.
     *
     * @param majorityReachable if true, nodes with a valid fact; if false, nodes with a session here
     */
    List<Hello> ready(boolean majorityReachable, long nowMs) {
        return nodesWhere(DataNodeFact::ready, (fact, node) -> isUsable(fact, node, majorityReachable, nowMs));
    }

    /** Data nodes that are shutting down and still accept requests, selected by the same rule as {@link #ready}. */
    List<Hello> leaving(boolean majorityReachable, long nowMs) {
        return nodesWhere(
                DataNodeFact::servesWhileLeaving, (fact, node) -> isUsable(fact, node, majorityReachable, nowMs));
    }

    /** Data nodes that accepted requests by the last facts received, if these are recent; used while isolated. */
    List<Hello> lastKnownReady(long nowMs) {
        return nodesWhere(DataNodeFact::ready, (fact, node) -> publisherSeenWithin(ISOLATED_VALID_MS, node, nowMs));
    }

    /** While this node is isolated, facts from other control nodes may be stale, so only its own sessions count. */
    private boolean isUsable(Fact fact, DataNodeFact node, boolean majorityReachable, long nowMs) {
        return majorityReachable ? isValid(fact, node, nowMs) : hasSession(node);
    }

    /** Data nodes that match the predicate and whose facts are usable now. */
    private List<Hello> nodesWhere(Predicate<DataNodeFact> matches, BiPredicate<Fact, DataNodeFact> usable) {
        List<Hello> hellos = new ArrayList<>();
        for (DecodedFacts.Entry<DataNodeFact> entry : nodes.all()) {
            Fact fact = entry.fact();
            DataNodeFact node = entry.value();
            boolean isDataNode = node.hello().kind() == NodeKind.DATA;
            if (isDataNode && matches.test(node) && usable.test(fact, node)) {
                hellos.add(node.hello());
            }
        }
        return hellos;
    }

    private boolean publisherSeenWithin(int periodMs, DataNodeFact dataNode, long nowMs) {
        return nowMs - lastLinkedMs.getOrDefault(dataNode.via(), SessionTable.NEVER_MS) < periodMs;
    }

    /** Records which control nodes are reachable; the facts that one published expire soon after it is lost. */
    public void tick(long nowMs) {
        for (SessionTable.Peer peer : sessions.peers()) {
            NodeId node = peer.hello().node();
            if (peer.hello().kind() == NodeKind.CONTROL && sessions.linked(self, node)) {
                lastLinkedMs.put(node, nowMs);
            }
        }
    }

    private boolean hasSession(DataNodeFact dataNode) {
        SessionTable.Peer peer = sessions.peer(dataNode.hello().node());
        return peer != null && peer.linked();
    }

    /** True while the control node that published the fact is reachable, and for a short time after. */
    private boolean isValid(Fact fact, DataNodeFact dataNode, long nowMs) {
        if (changedWithin(CHANGE_VALID_MS, fact, nowMs)) {
            return true;
        }
        NodeId publisher = dataNode.via();
        if (publisher.equals(self)) {
            return hasSession(dataNode);
        }
        return sessions.linked(self, publisher) || publisherSeenWithin(PUBLISHER_LOST_VALID_MS, dataNode, nowMs);
    }

    private boolean changedWithin(int periodMs, Fact fact, long nowMs) {
        Long changedMs = facts.changedAtMs(FactKind.NODE, fact.key());
        return changedMs != null && nowMs - changedMs < periodMs;
    }

    /** All known nodes, each with whether it is ready by a valid fact. */
    public Map<DataNodeFact, Boolean> all(long nowMs) {
        Map<DataNodeFact, Boolean> dataNodes = new LinkedHashMap<>();
        for (DecodedFacts.Entry<DataNodeFact> entry : nodes.all()) {
            DataNodeFact dataNode = entry.value();
            dataNodes.put(dataNode, dataNode.ready() && isValid(entry.fact(), dataNode, nowMs));
        }
        return dataNodes;
    }

    /** Describes the known nodes for log lines: the status of each, and whether its fact is used. */
    public String describe(boolean majorityReachable, long nowMs) {
        StringJoiner described = new StringJoiner(", ");
        for (DecodedFacts.Entry<DataNodeFact> entry : nodes.all()) {
            DataNodeFact node = entry.value();
            boolean usable = isUsable(entry.fact(), node, majorityReachable, nowMs);
            described.add(node.hello().name() + " " + status(node) + (usable ? "" : " (not counted)"));
        }
        return described.toString();
    }

    private static String status(DataNodeFact node) {
        if (node.ready()) {
            return "ready";
        }
        if (node.flags().isEmpty()) {
            return "gone";
        }
        return node.servesWhileLeaving() ? "leaving" : "not ready";
    }

    /** Number of data nodes that accept requests, as known here. */
    public int readyCount() {
        return nodesWhere(DataNodeFact::ready, (fact, node) -> true).size();
    }

    /** Number of nodes that may be sending requests: those with a session, and those that lost theirs recently. */
    int countActive(long nowMs) {
        int active = 0;
        for (DecodedFacts.Entry<DataNodeFact> entry : nodes.all()) {
            boolean inSession = !entry.value().flags().isEmpty();
            active += inSession || changedWithin(LOST_NODE_SHARE_MS, entry.fact(), nowMs) ? 1 : 0;
        }
        return active;
    }
}
