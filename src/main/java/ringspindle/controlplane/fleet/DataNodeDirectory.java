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
 * Data nodes as facts: told by the control node that holds the session, and good while that node is in touch. Owns when other
 * control nodes were last in touch; guarded by the fleet's lock.
 */
public final class DataNodeDirectory {
    /** A data node's fact holds for so long after it changed, whoever told it. */
    private static final int CHANGED_HOLDS_MS = 3000;
    /** It holds for so long after the control node that told it was last in touch. */
    private static final int TELLER_LOST_HOLDS_MS = 2000;
    /** While this node is cut off, what it knows of nodes in other regions holds for so long after it was last told. */
    private static final int CUT_OFF_HOLDS_MS = 15_000;

    /** A data node that was lost counts among those that share the budgets for so long. */
    private static final int LOST_COUNTS_MS = 10_000;

    private final NodeId me;
    private final SessionTable sessions;
    private final FleetFacts facts;
    private final DecodedFacts<DataNodeFact> nodes;
    /** When each other control node was last in touch, as of the last tick. */
    private final Map<NodeId, Long> lastLinkedMs = new HashMap<>();

    DataNodeDirectory(NodeId me, SessionTable sessions, FleetFacts facts) {
        this.me = me;
        this.sessions = sessions;
        this.facts = facts;
        nodes = facts.nodes();
    }

    /** A node's session is told once; told anew if it changes, or if whoever told it is out of touch. */
    public void onHeartbeat(SessionTable.Peer peer, Heartbeat heartbeat) {
        DecodedFacts.Entry<DataNodeFact> known = known(peer);
        DataNodeFact told = known == null ? null : known.value();
        boolean same = told != null
                && told.flags() == heartbeat.flags()
                && told.hello().life() == peer.hello().life()
                && (told.via().equals(me) || sessions.linked(me, told.via()));
        if (!same) {
            facts.merge(List.of(fact(peer, heartbeat.flags(), heartbeat.n() * 2)));
        }
    }

    private DecodedFacts.Entry<DataNodeFact> known(SessionTable.Peer peer) {
        return nodes.get(peer.hello().node().toString());
    }

    /** The session of a data node is gone. If it has one with another control node in touch, that one speaks of it. */
    public void onSessionClosed(SessionTable.Peer peer) {
        if (isToldElsewhere(peer)) {
            return;
        }
        facts.merge(List.of(fact(peer, NodeFlags.NONE, peer.heartbeat().n() * 2 + 1)));
    }

    private boolean isToldElsewhere(SessionTable.Peer peer) {
        DecodedFacts.Entry<DataNodeFact> known = known(peer);
        if (known == null) {
            return false;
        }
        DataNodeFact told = known.value();
        return !told.via().equals(me)
                && !told.flags().isEmpty()
                && told.hello().life() == peer.hello().life()
                && sessions.linked(me, told.via());
    }

    private Fact fact(SessionTable.Peer peer, NodeFlags flags, long version) {
        Hello hello = peer.hello();
        return new Fact(
                FactKind.NODE,
                hello.node().toString(),
                incarnation(known(peer), hello.life()),
                version,
                new DataNodeFact(flags, me, hello).value());
    }

    /** A restart has a new incarnation that must win, though the time of day that it is drawn from may go back. */
    private static long incarnation(DecodedFacts.Entry<DataNodeFact> known, long own) {
        if (known == null) {
            return own;
        }
        boolean restarted = known.value().hello().life() != own;
        long incarnation = known.fact().life();
        return restarted ? Math.max(own, incarnation + 1) : incarnation;
    }

    /**
     * Data nodes that take requests.
     *
     * @param inTouch true: by facts that still hold; false, for a node that is cut off: those with a session here
     */
    List<Hello> ready(boolean inTouch, long nowMs) {
        return nodesWhere(DataNodeFact::ready, (fact, node) -> counts(fact, node, inTouch, nowMs));
    }

    /** Data nodes that shut down and still take requests; what counts is the same as of those that are ready. */
    List<Hello> leaving(boolean inTouch, long nowMs) {
        return nodesWhere(DataNodeFact::servesWhileLeaving, (fact, node) -> counts(fact, node, inTouch, nowMs));
    }

    /** Data nodes that took requests when they were last told of, not too long ago; for a node that is cut off. */
    List<Hello> readyAsLastTold(long nowMs) {
        return nodesWhere(DataNodeFact::ready, (fact, node) -> lastToldWithin(CUT_OFF_HOLDS_MS, node, nowMs));
    }

    /** While this node is cut off, what others have told of data nodes may be old, and only sessions of its own count. */
    private boolean counts(Fact fact, DataNodeFact node, boolean inTouch, long nowMs) {
        return inTouch ? holds(fact, node, nowMs) : linkedHere(node);
    }

    /** Data nodes that say so, where their facts count. */
    private List<Hello> nodesWhere(Predicate<DataNodeFact> says, BiPredicate<Fact, DataNodeFact> counts) {
        List<Hello> greetings = new ArrayList<>();
        for (DecodedFacts.Entry<DataNodeFact> entry : nodes.all()) {
            Fact fact = entry.fact();
            DataNodeFact node = entry.value();
            boolean takesClients = node.hello().kind() == NodeKind.DATA;
            if (takesClients && says.test(node) && counts.test(fact, node)) {
                greetings.add(node.hello());
            }
        }
        return greetings;
    }

    private boolean lastToldWithin(int periodMs, DataNodeFact dataNode, long nowMs) {
        return nowMs - lastLinkedMs.getOrDefault(dataNode.via(), SessionTable.NEVER_MS) < periodMs;
    }

    /** Notes which control nodes are in touch: what one has told of data nodes does not outlast it by much. */
    public void tick(long nowMs) {
        for (SessionTable.Peer peer : sessions.peers()) {
            NodeId node = peer.hello().node();
            if (peer.hello().kind() == NodeKind.CONTROL && sessions.linked(me, node)) {
                lastLinkedMs.put(node, nowMs);
            }
        }
    }

    private boolean linkedHere(DataNodeFact dataNode) {
        SessionTable.Peer peer = sessions.peer(dataNode.hello().node());
        return peer != null && peer.linked();
    }

    /** True while the control node that told a fact of a node is in touch, and a moment longer. */
    private boolean holds(Fact fact, DataNodeFact dataNode, long nowMs) {
        if (changedWithin(CHANGED_HOLDS_MS, fact, nowMs)) {
            return true;
        }
        NodeId teller = dataNode.via();
        if (teller.equals(me)) {
            return linkedHere(dataNode);
        }
        return sessions.linked(me, teller) || lastToldWithin(TELLER_LOST_HOLDS_MS, dataNode, nowMs);
    }

    private boolean changedWithin(int periodMs, Fact fact, long nowMs) {
        Long changedMs = facts.seenMs(FactKind.NODE, fact.key());
        return changedMs != null && nowMs - changedMs < periodMs;
    }

    /** Data nodes as known here, and whether their facts still hold. */
    public Map<DataNodeFact, Boolean> all(long nowMs) {
        Map<DataNodeFact, Boolean> dataNodes = new LinkedHashMap<>();
        for (DecodedFacts.Entry<DataNodeFact> entry : nodes.all()) {
            DataNodeFact dataNode = entry.value();
            dataNodes.put(dataNode, dataNode.ready() && holds(entry.fact(), dataNode, nowMs));
        }
        return dataNodes;
    }

    /** Data nodes as known here, for log lines: each with what it says and whether that counts. */
    public String describe(boolean inTouch, long nowMs) {
        StringJoiner described = new StringJoiner(", ");
        for (DecodedFacts.Entry<DataNodeFact> entry : nodes.all()) {
            DataNodeFact node = entry.value();
            boolean counts = counts(entry.fact(), node, inTouch, nowMs);
            described.add(node.hello().name() + " " + says(node) + (counts ? "" : " (not counted)"));
        }
        return described.toString();
    }

    private static String says(DataNodeFact node) {
        if (node.ready()) {
            return "ready";
        }
        if (node.flags().isEmpty()) {
            return "gone";
        }
        return node.servesWhileLeaving() ? "leaving" : "not ready";
    }

    /** How many data nodes take requests, as known here. */
    public int readyCount() {
        return nodesWhere(DataNodeFact::ready, (fact, node) -> true).size();
    }

    /** How many data nodes may be sending requests: those with a session, and those that lost theirs a moment ago. */
    int sharing(long nowMs) {
        int sharing = 0;
        for (DecodedFacts.Entry<DataNodeFact> entry : nodes.all()) {
            boolean inSession = !entry.value().flags().isEmpty();
            sharing += inSession || changedWithin(LOST_COUNTS_MS, entry.fact(), nowMs) ? 1 : 0;
        }
        return sharing;
    }
}
