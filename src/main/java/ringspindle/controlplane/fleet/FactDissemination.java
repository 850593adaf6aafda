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
 * Spreads facts to peers: to control nodes all, to data nodes what they use. Owns which data nodes were told that they know
 * all, and which peers stay apart from this node; guarded by the fleet's lock.
 */
public final class FactDissemination {
    private static final int BATCH_MAX = 512;
    /** A peer with more than this on its way, in bytes, may differ just because of that: nothing is sent to it again. */
    private static final int REPAIR_BACKLOG_MAX = 64 << 10;

    private final Mesh mesh;
    private final SessionTable sessions;
    private final FleetFacts facts;
    private final Set<NodeId> filled = new TreeSet<>();
    private final RepairTrigger repairs = new RepairTrigger();

    FactDissemination(Mesh mesh, SessionTable sessions, FleetFacts facts) {
        this.mesh = mesh;
        this.sessions = sessions;
        this.facts = facts;
    }

    /** A new session: its peer is told everything. */
    public void onSessionOpened(NodeId peer) {
        facts.store().resetPeer(peer);
        filled.remove(peer);
        repairs.forget(peer);
    }

    /** A session is gone. */
    public void onSessionClosed(NodeId peer) {
        facts.store().removePeer(peer);
        repairs.forget(peer);
    }

    /** A peer's heartbeat carries the digest of what it knows: it is asked to compare if it stays apart from this node. */
    public void onHeartbeat(NodeId peer, long peerDigest) {
        if (peerDigest != 0 && repairs.onHeartbeat(peer, facts.store().digest(), peerDigest)) {
            mesh.send(peer, new Digest(facts.store().ranges()));
        }
    }

    /** A data node acts on what it is told, so only a node that is proven to be up to date tells it anything. */
    private static boolean mayTell(SessionTable.Peer peer, boolean quorate) {
        return peer.hello().kind() == NodeKind.CONTROL || quorate;
    }

    /** Answers a peer's digest with the facts that differ. */
    public void repair(NodeId from, Digest digest, boolean quorate) {
        SessionTable.Peer peer = sessions.peer(from);
        List<Fact> differing = facts.store().differing(digest.ranges());
        boolean backlog = mesh.pendingBytes(from) > REPAIR_BACKLOG_MAX;
        if (peer != null && mayTell(peer, quorate) && !backlog && !differing.isEmpty()) {
            mesh.send(from, new News(false, differing));
        }
    }

    /**
     * Passes on what peers have not been sent.
     *
     * @param merged all that is committed here is among the facts, so that a data node may be told that it knows all
     */
    public void push(boolean quorate, boolean merged) {
        for (SessionTable.Peer peer : sessions.peers()) {
            if (!mayTell(peer, quorate)) {
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
     * The configuration, by far the longest fact, is not among these: a control node has it from the chain, or asks for it when
     * digests show that it has not.
     */
    private void pushToControlNode(NodeId node) {
        List<Fact> pending = facts.store().pending(node, BATCH_MAX, fact -> fact.kind() != FactKind.CONFIG);
        if (!pending.isEmpty()) {
            mesh.send(node, new News(false, pending));
        }
    }

    private void pushToDataNode(Hello peer, boolean merged) {
        NodeId node = peer.node();
        String region = peer.region();
        List<Fact> pending = facts.store().pending(node, BATCH_MAX, fact -> isOfUse(fact, region));
        boolean notFilled = merged && !filled.contains(node);
        if (pending.isEmpty() && !notFilled) {
            return;
        }
        boolean full = notFilled && pending.size() < BATCH_MAX;
        if (full) {
            filled.add(node);
        }
        mesh.send(node, new News(full, pending));
    }

    /** A data node needs the data nodes of its region, for gossip, and not what engines in turn still run. */
    private boolean isOfUse(Fact fact, String region) {
        return switch (fact.kind()) {
            case TURN -> false;
            case NODE -> facts.nodes().get(fact.key()).value().hello().region().equals(region);
            default -> true;
        };
    }
}
