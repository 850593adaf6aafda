package ringspindle.controlplane.fleet;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.gossip.RepairTrigger;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.transport.Mesh;

/**
 * Sends facts to peers: all of them to control nodes, the relevant ones to data nodes. Tracks which data nodes were
 * told that their facts are complete, and starts a repair with peers whose digest keeps differing. Guarded by the
 * fleet's lock.
 */
public final class FactDissemination {
    private static final int MAX_BATCH_FACTS = 512;
    /** A peer with more queued bytes may differ only because of these, so no repair is sent to it. */
    private static final int MAX_REPAIR_BACKLOG_BYTES = 64 << 10;

    private final Mesh mesh;
    private final SessionTable sessions;
    private final FleetFacts facts;
    private final Set<NodeId> completeNodes = new TreeSet<>();
    private final RepairTrigger repairs = new RepairTrigger();

    FactDissemination(Mesh mesh, SessionTable sessions, FleetFacts facts) {
        this.mesh = mesh;
        this.sessions = sessions;
        this.facts = facts;
    }

    /** A session opened: its peer is sent all facts. */
    public void onSessionOpened(NodeId peer) {
        facts.store().resetPeer(peer);
        completeNodes.remove(peer);
        repairs.forget(peer);
    }

    /** A session closed. */
    public void onSessionClosed(NodeId peer) {
        facts.store().removePeer(peer);
        repairs.forget(peer);
    }

    /** Compares the digest in a peer's heartbeat with the own one; starts a repair if they keep differing. */
    public void onHeartbeat(NodeId peer, long peerDigest) {
        if (peerDigest != 0 && repairs.onHeartbeat(peer, facts.store().digest(), peerDigest)) {
            mesh.send(peer, new Digest(facts.store().ranges()));
        }
    }

    /** A data node acts on the facts it is sent, so only a node that is proven to be up to date sends it any. */
    private static boolean maySendTo(SessionTable.Peer peer, boolean quorate) {
        return peer.hello().kind() == NodeKind.CONTROL || quorate;
    }

    /** Answers the digest of a peer with the facts that differ. */
    public void repair(NodeId from, Digest digest, boolean quorate) {
        SessionTable.Peer peer = sessions.peer(from);
        List<Fact> differing = facts.store().differing(digest.ranges());
        boolean backlog = mesh.pendingBytes(from) > MAX_REPAIR_BACKLOG_BYTES;
        if (peer != null && maySendTo(peer, quorate) && !backlog && !differing.isEmpty()) {
            mesh.send(from, new News(false, differing));
        }
    }

    /**
     * Sends peers the facts that they have not been sent.
     *
     * @param merged whether the facts include all state committed here, so that a data node may be told that it has
     *     them all
     */
    public void push(boolean quorate, boolean merged) {
        for (SessionTable.Peer peer : sessions.peers()) {
            if (!maySendTo(peer, quorate)) {
                continue;
            }
            if (peer.hello().kind() == NodeKind.CONTROL) {
                pushToControlNode(peer.hello().node());
            } else {
                pushToDataNode(peer.hello(), merged);
            }
        }
    }

    /**
     * Sends a control node all pending facts but the configuration, by far the longest one: a control node gets it from
     * the chain, or by a repair if it lacks it.
     */
    private void pushToControlNode(NodeId node) {
        List<Fact> pending = facts.store().pending(node, MAX_BATCH_FACTS, fact -> fact.kind() != FactKind.CONFIG);
        if (!pending.isEmpty()) {
            mesh.send(node, new News(false, pending));
        }
    }

    private void pushToDataNode(Hello peer, boolean merged) {
        NodeId node = peer.node();
        String region = peer.region();
        List<Fact> pending = facts.store().pending(node, MAX_BATCH_FACTS, fact -> isRelevant(fact, region));
        boolean mayComplete = merged && !completeNodes.contains(node);
        if (pending.isEmpty() && !mayComplete) {
            return;
        }
        boolean complete = mayComplete && pending.size() < MAX_BATCH_FACTS;
        if (complete) {
            completeNodes.add(node);
        }
        mesh.send(node, new News(complete, pending));
    }

    /** A data node needs the nodes of its region, for gossip, and not the progress of engines in a roll-out step. */
    private boolean isRelevant(Fact fact, String region) {
        return switch (fact.kind()) {
            case TURN -> false;
            case NODE -> facts.nodes().get(fact.key()).value().hello().region().equals(region);
            default -> true;
        };
    }
}
