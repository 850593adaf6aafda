package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;

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
    private final Map<NodeId, Long> viaLostMs = new HashMap<>();

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
     * Frontends for a consumer, nearest first.
     *
     * @param inTouch without a majority only those count that this node itself is in touch with: what others told may be old
     */
    List<String> addresses(String region, String zone, boolean inTouch, long nowMs) {
        List<String> inZone = new ArrayList<>();
        List<String> inRegion = new ArrayList<>();
        List<String> all = new ArrayList<>();
        for (Fact i : facts.store().all(FactKind.NODE)) {
            DataNodeFact r = DataNodeFact.of(i.value());
            if (!r.ready() || !(inTouch ? holds(i, r, nowMs) : linkedHere(r))) {
                continue;
            }
            Hello h = r.hello();
            String address = new NodeId(h.front()).toString();
            all.add(address);
            if (h.region().equals(region)) {
                inRegion.add(address);
            }
            if (h.zone().equals(zone)) {
                inZone.add(address);
            }
        }
        List<String> out = !inZone.isEmpty() ? inZone : !inRegion.isEmpty() ? inRegion : all;
        return out.size() > ADDRESSES_MAX ? out.subList(0, ADDRESSES_MAX) : out;
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
        if (sessions.linked(me, r.via())) {
            viaLostMs.remove(r.via());
            return true;
        }
        return nowMs - viaLostMs.computeIfAbsent(r.via(), k -> nowMs) < VIA_MS;
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
