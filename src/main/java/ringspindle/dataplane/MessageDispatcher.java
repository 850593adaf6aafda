package ringspindle.dataplane;

import java.util.List;
import ringspindle.gossip.RepairTrigger;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.membership.FactValidator;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.BatchMessage;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.protocol.ShardMessage;
import ringspindle.protocol.TenantMessage;
import ringspindle.proxy.Proxy;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;

/**
 * Handles what comes over the mesh, a method a family of messages. Called by threads of the pool, works with the lock of
 * {@link GossipState} held. Owns whether a control node has told all that is in force.
 */
final class MessageDispatcher implements Mesh.Listener {
    /** A fact that is known for longer than this and not in force is overdue. */
    private static final int OVERDUE_MS = 1000;

    private final MonotonicClock clock;
    private final Mesh mesh;
    private final GossipState gossip;
    private final HeartbeatSender heartbeats;
    private final PeerDialer dialer;
    private final UnappliedFacts unapplied;
    private final RepairTrigger repairs = new RepairTrigger();
    private final LoadBalancer loadBalancer;
    private final Proxy proxy;
    private final NodeComponent component;
    /** A peer has told all that it knows. */
    private boolean filled;
    /** When a control node in touch with a majority was last heard. */
    private long majorityHeardMs = SessionTable.NEVER_MS;

    MessageDispatcher(
            MonotonicClock clock,
            Mesh mesh,
            GossipState gossip,
            HeartbeatSender heartbeats,
            PeerDialer dialer,
            LoadBalancer loadBalancer,
            Proxy proxy,
            NodeComponent component) {
        this.clock = clock;
        this.mesh = mesh;
        this.gossip = gossip;
        this.heartbeats = heartbeats;
        this.dialer = dialer;
        this.loadBalancer = loadBalancer;
        this.proxy = proxy;
        this.component = component;
        synchronized (gossip.lock) {
            unapplied = new UnappliedFacts(gossip.facts(), new FactApplier(loadBalancer, proxy));
        }
    }

    @Override
    public void opened(Hello peer) {
        synchronized (gossip.lock) {
            gossip.sessions().opened(peer, clock.nowMs());
            gossip.facts().resetPeer(peer.node());
            repairs.forget(peer.node());
            if (peer.kind() == NodeKind.CONTROL) {
                dialer.addControlNodes(List.of(peer.node()));
            }
            heartbeats.send(peer.node());
        }
        component.opened(peer);
    }

    @Override
    public void received(NodeId from, Message message) {
        if (message instanceof BatchMessage || message instanceof ShardMessage || message instanceof TenantMessage) {
            component.received(from, message);
            return;
        }
        long nowMs = clock.nowMs();
        synchronized (gossip.lock) {
            unapplied.retry(nowMs);
            if (message instanceof Heartbeat heartbeat) {
                received(from, heartbeat, nowMs);
            } else if (message instanceof News news) {
                received(from, news, nowMs);
            } else if (message instanceof Load load) {
                loadBalancer.updateRegionLoad(load, nowMs);
            } else if (message instanceof Digest digest) {
                received(from, digest);
            }
        }
    }

    @Override
    public void closed(NodeId peer) {
        synchronized (gossip.lock) {
            if (mesh.connected(peer)) {
                // a newer connection stands already, and the session is its own or is about to be
                return;
            }
            gossip.sessions().closed(peer);
            gossip.facts().removePeer(peer);
            repairs.forget(peer);
        }
        component.closed(peer);
    }

    private void received(NodeId from, Heartbeat heartbeat, long nowMs) {
        gossip.sessions().received(from, heartbeat, nowMs);
        if (heartbeat.echo() == 0) {
            // a new connection: the sooner both know that they hear each other, the better
            heartbeats.send(from);
        }
        dialer.learnControlNodes(heartbeat.heard());
        SessionTable.Peer peer = gossip.sessions().peer(from);
        if (peer != null && peer.serves()) {
            majorityHeardMs = nowMs;
            proveKnowledge(peer);
        }
        if (peer != null && repairs.onHeartbeat(from, gossip.facts().digest(), heartbeat.digest())) {
            mesh.send(from, new Digest(gossip.facts().ranges()));
        }
    }

    /** The control node answers for what was committed when the heartbeat that it echoes was sent; this node may hold less. */
    private void proveKnowledge(SessionTable.Peer controlNode) {
        Fact committed = gossip.facts().get(FactKind.COMMITTED, "");
        boolean holdsAll = committed != null
                && committed.version() >= controlNode.heartbeat().seq();
        if (filled && holdsAll && unapplied.isEmpty()) {
            proxy.confirmUpToDate(controlNode.contactMs());
        }
    }

    /** Facts that cannot be read are refused before the first is taken. */
    private void received(NodeId from, News news, long nowMs) {
        FactValidator.check(news.items());
        List<Fact> fresh = gossip.facts().merge(news.items());
        gossip.facts().markKnown(from, news.items());
        unapplied.apply(fresh, nowMs);
        if (!fresh.isEmpty()) {
            component.factsChanged(gossip.facts());
        }
        filled |= news.full();
        if (filled && gossip.facts().get(FactKind.CONFIG, "") != null) {
            proxy.markConfirmed();
        }
    }

    private void received(NodeId from, Digest digest) {
        List<Fact> differing = gossip.facts().differing(digest.ranges());
        if (!differing.isEmpty()) {
            mesh.send(from, new News(false, differing));
        }
    }

    /** How many facts have been known for over a second and are not in force. */
    int overdueFacts() {
        synchronized (gossip.lock) {
            return unapplied.countOver(OVERDUE_MS, clock.nowMs());
        }
    }

    /** What this node's answers rest on, for log lines. */
    String describeKnowledge() {
        long nowMs = clock.nowMs();
        synchronized (gossip.lock) {
            String heard = majorityHeardMs == SessionTable.NEVER_MS ? "never" : nowMs - majorityHeardMs + " ms ago";
            return "majority heard " + heard + "; not in force " + unapplied.describe(nowMs);
        }
    }
}
