package ringspindle.controlplane;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.transport.Mesh;

/** Tells facts to peers: to control nodes all, to data nodes what they use. Guarded by its owner. */
final class FactDissemination {
    private static final int ITEMS_MAX = 512;

    private final Mesh mesh;
    private final SessionTable sessions;
    private final FleetFacts facts;
    private final Set<NodeId> filled = new TreeSet<>();

    FactDissemination(Mesh mesh, SessionTable sessions, FleetFacts facts) {
        this.mesh = mesh;
        this.sessions = sessions;
        this.facts = facts;
    }

    /** A new session: its peer is told everything. */
    void opened(NodeId peer) {
        facts.store().resetPeer(peer);
        filled.remove(peer);
    }

    void closed(NodeId peer) {
        facts.store().removePeer(peer);
    }

    /** A data node acts on what it is told, so only a node that is proven to be up to date tells it anything. */
    private static boolean mayTell(SessionTable.Peer peer, boolean quorate) {
        return peer.hello().kind() == NodeKind.CONTROL || quorate;
    }

    /** Answers a peer's digest with the facts that differ. */
    void repair(NodeId from, Digest digest, boolean quorate) {
        SessionTable.Peer peer = sessions.peer(from);
        List<Fact> items = facts.store().differing(digest.ranges());
        if (peer != null && mayTell(peer, quorate) && !items.isEmpty()) {
            mesh.send(from, new News(false, items));
        }
    }

    /**
     * Passes on what peers have not been sent.
     *
     * @param merged all that is committed here is among the facts, so that a data node may be told that it is filled
     */
    void push(boolean quorate, boolean merged) {
        for (SessionTable.Peer p : sessions.peers()) {
            if (mayTell(p, quorate)) {
                push(p, merged);
            }
        }
    }

    private void push(SessionTable.Peer p, boolean merged) {
        NodeId to = p.hello().node();
        boolean toControl = p.hello().kind() == NodeKind.CONTROL;
        String region = p.hello().region();
        List<Fact> items = toControl
                ? facts.store().pending(to, ITEMS_MAX)
                : facts.store().pending(to, ITEMS_MAX, i -> usefulToData(i, region));
        boolean first = !toControl && merged && !filled.contains(to);
        if (items.isEmpty() && !first) {
            return;
        }
        boolean full = first && items.size() < ITEMS_MAX;
        if (full) {
            filled.add(to);
        }
        mesh.send(to, new News(full, items));
    }

    /** A data node needs the data nodes of its region, for gossip, and not what engines in turn still run. */
    private static boolean usefulToData(Fact i, String region) {
        return i.kind() != FactKind.TURN
                && (i.kind() != FactKind.NODE
                        || DataNodeFact.of(i.value()).hello().region().equals(region));
    }
}
