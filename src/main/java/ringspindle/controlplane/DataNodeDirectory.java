package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** Data nodes as facts: told by the control node that holds the session, and good while that node is in touch. Guarded by its owner. */
final class DataNodeDirectory {
    /** Ours: how long a node's fact holds after it moved, and after the control node that told it is out of touch. */
    private static final int HOLD_MS = 3000;

    private static final int VIA_MS = 2000;
    private static final int ADDRESSES_MAX = 64;
    /** A data node that was lost counts among those that share the budgets for so long. */
    private static final int LOST_COUNTS_MS = 10_000;

    private final NodeId me;
    private final SessionTable sessions;
    private final FleetFacts facts;
    /** When each other control node was last in touch, as of the last tick. */
    private final Map<NodeId, Long> lastLinkedMs = new HashMap<>();

    DataNodeDirectory(NodeId me, SessionTable sessions, FleetFacts facts) {
        this.me = me;
        this.sessions = sessions;
        this.facts = facts;
    }

    /** A node's session is told once; told anew if it changes, or if whoever told it is out of touch. */
    void heard(SessionTable.Peer peer, Heartbeat heartbeat) {
        Fact old = facts.store().get(FactKind.NODE, peer.hello().node().toString());
        DataNodeFact was = old == null ? null : DataNodeFact.of(old.value());
        boolean same = was != null
                && was.flags() == heartbeat.flags()
                && was.hello().life() == peer.hello().life()
                && (was.via().equals(me) || sessions.linked(me, was.via()));
        if (!same) {
            facts.merge(List.of(item(peer, heartbeat.flags(), heartbeat.n() * 2)));
        }
    }

    /** The session of a data node is gone. */
    void closed(SessionTable.Peer peer) {
        facts.merge(List.of(item(peer, NodeFlags.NONE, peer.heartbeat().n() * 2 + 1)));
    }

    /** A restart has a new life that must win, though the time of day that lives are drawn from may go back. */
    private Fact item(SessionTable.Peer peer, NodeFlags flags, long version) {
        Fact old = facts.store().get(FactKind.NODE, peer.hello().node().toString());
        long ownLife = peer.hello().life();
        long wasLife =
                old == null ? ownLife : DataNodeFact.of(old.value()).hello().life();
        long nodeLife = old == null ? ownLife : wasLife == ownLife ? old.life() : Math.max(ownLife, old.life() + 1);
        return new Fact(
                FactKind.NODE,
                peer.hello().node().toString(),
                nodeLife,
                version,
                new DataNodeFact(flags, me, peer.hello()).value());
    }

    /**
     * Addresses of data nodes for a client: those of its zone that take requests, else of its region, else of the regions
     * that may serve all requests of the host it asks for, else all.
     *
     * @param homeRegions asked for only where the client's region has none; empty if the host's routes name none
     * @param inTouch without a majority only those count that this node itself is in touch with: what others told may be old
     */
    List<String> addresses(String region, String zone, Supplier<Set<String>> homeRegions, boolean inTouch, long nowMs) {
        List<Hello> ready = new ArrayList<>();
        for (Fact fact : facts.store().all(FactKind.NODE)) {
            DataNodeFact node = DataNodeFact.of(fact.value());
            if (node.ready() && (inTouch ? holds(fact, node, nowMs) : linkedHere(node))) {
                ready.add(node.hello());
            }
        }
        List<String> nearest = addressesWhere(ready, node -> node.zone().equals(zone));
        if (nearest.isEmpty()) {
            nearest = addressesWhere(ready, node -> node.region().equals(region));
        }
        if (nearest.isEmpty()) {
            Set<String> homes = homeRegions.get();
            nearest = addressesWhere(ready, node -> homes.contains(node.region()));
        }
        return nearest.isEmpty() ? addressesWhere(ready, node -> true) : nearest;
    }

    private static List<String> addressesWhere(List<Hello> nodes, Predicate<Hello> wanted) {
        return nodes.stream()
                .filter(wanted)
                .limit(ADDRESSES_MAX)
                .map(node -> new NodeId(node.front()).toString())
                .toList();
    }

    /** Notes which control nodes are in touch: what one has told of data nodes does not outlast it by much. */
    void tick(long nowMs) {
        for (SessionTable.Peer peer : sessions.peers()) {
            NodeId node = peer.hello().node();
            if (peer.hello().kind() == NodeKind.CONTROL && sessions.linked(me, node)) {
                lastLinkedMs.put(node, nowMs);
            }
        }
    }

    private boolean linkedHere(DataNodeFact r) {
        SessionTable.Peer p = sessions.peer(r.hello().node());
        return p != null && p.linked();
    }

    /** True while the control node that told a fact of a node is in touch, and a moment longer. */
    private boolean holds(Fact i, DataNodeFact r, long nowMs) {
        Long at = facts.seenMs(FactKind.NODE, i.key());
        if (at != null && nowMs - at < HOLD_MS) {
            return true;
        }
        if (r.via().equals(me)) {
            return linkedHere(r);
        }
        return sessions.linked(me, r.via())
                || nowMs - lastLinkedMs.getOrDefault(r.via(), SessionTable.NEVER_MS) < VIA_MS;
    }

    /** Data nodes as known here, and whether their facts still hold. */
    Map<DataNodeFact, Boolean> all(long nowMs) {
        Map<DataNodeFact, Boolean> out = new LinkedHashMap<>();
        for (Fact i : facts.store().all(FactKind.NODE)) {
            DataNodeFact r = DataNodeFact.of(i.value());
            out.put(r, r.ready() && holds(i, r, nowMs));
        }
        return out;
    }

    /** Data nodes that take requests, as known here. */
    int ready() {
        int n = 0;
        for (Fact i : facts.store().all(FactKind.NODE)) {
            n += DataNodeFact.of(i.value()).ready() ? 1 : 0;
        }
        return n;
    }

    /** Data nodes that may be sending requests: those with a session, and those that lost theirs a moment ago. */
    int sharing(long nowMs) {
        int nodes = 0;
        for (Fact i : facts.store().all(FactKind.NODE)) {
            Long at = facts.seenMs(FactKind.NODE, i.key());
            nodes += DataNodeFact.of(i.value()).flags() != NodeFlags.NONE || at != null && nowMs - at < LOST_COUNTS_MS
                    ? 1
                    : 0;
        }
        return nodes;
    }
}
