package ringspindle.dataplane;

import java.util.ArrayList;
import java.util.List;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.membership.FactValidator;
import ringspindle.membership.SessionTable;
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
import ringspindle.proxy.Proxy;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;

/**
 * Handles what comes over the mesh, a method a family of messages. Called by threads of the pool, works with the lock of
 * {@link GossipState} held. Owns whether a control node has told all that is in force.
 */
final class MessageDispatcher implements Mesh.Listener {
    /** Every so many heartbeats that show other facts the two compare what they know. */
    private static final int DIGEST_HEARTBEATS = 16;

    private final MonotonicClock clock;
    private final Mesh mesh;
    private final GossipState gossip;
    private final HeartbeatSender heartbeats;
    private final PeerDialer dialer;
    private final FactApplier applier;
    private final LoadBalancer loadBalancer;
    private final Proxy proxy;
    /** Facts that are known here and not in force, as putting them into force failed. */
    private final List<Fact> unapplied = new ArrayList<>();
    /** A peer has told all that it knows. */
    private boolean filled;

    MessageDispatcher(
            MonotonicClock clock,
            Mesh mesh,
            GossipState gossip,
            HeartbeatSender heartbeats,
            PeerDialer dialer,
            LoadBalancer loadBalancer,
            Proxy proxy) {
        this.clock = clock;
        this.mesh = mesh;
        this.gossip = gossip;
        this.heartbeats = heartbeats;
        this.dialer = dialer;
        this.loadBalancer = loadBalancer;
        this.proxy = proxy;
        applier = new FactApplier(loadBalancer, proxy);
    }

    @Override
    public void opened(Hello peer) {
        synchronized (gossip.lock) {
            gossip.sessions().opened(peer, clock.nowMs());
            gossip.facts().resetPeer(peer.node());
            if (peer.kind() == NodeKind.CONTROL) {
                dialer.addControlNodes(List.of(peer.node()));
            }
            heartbeats.send(peer.node());
        }
    }

    @Override
    public void received(NodeId from, Message message) {
        long nowMs = clock.nowMs();
        synchronized (gossip.lock) {
            retryUnapplied(nowMs);
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
        }
    }

    private void received(NodeId from, Heartbeat heartbeat, long nowMs) {
        gossip.sessions().received(from, heartbeat, nowMs);
        if (heartbeat.echo() == 0) {
            // a new connection: the sooner both know that they hear each other, the better
            heartbeats.send(from);
        }
        dialer.learnControlNodes(heartbeat.heard());
        SessionTable.Peer peer = gossip.sessions().peer(from);
        boolean differs = heartbeat.digest() != gossip.facts().digest();
        if (peer != null && differs && peer.received() % DIGEST_HEARTBEATS == 0) {
            mesh.send(from, new Digest(gossip.facts().ranges()));
        }
    }

    /** Facts that cannot be read are refused before the first is taken. */
    private void received(NodeId from, News news, long nowMs) {
        FactValidator.check(news.items());
        List<Fact> fresh = gossip.facts().merge(news.items());
        gossip.facts().markKnown(from, news.items());
        unapplied.addAll(applier.apply(fresh, nowMs));
        filled |= news.full();
        if (filled && gossip.facts().get(FactKind.CONFIG, "") != null) {
            proxy.markConfirmed();
        }
    }

    /** Facts that could not be put into force are tried again, unless a newer one has taken their place. */
    private void retryUnapplied(long nowMs) {
        if (unapplied.isEmpty()) {
            return;
        }
        List<Fact> newest = unapplied.stream()
                .filter(fact -> fact.equals(gossip.facts().get(fact.kind(), fact.key())))
                .toList();
        unapplied.clear();
        unapplied.addAll(applier.apply(newest, nowMs));
    }

    private void received(NodeId from, Digest digest) {
        List<Fact> differing = gossip.facts().differing(digest.ranges());
        if (!differing.isEmpty()) {
            mesh.send(from, new News(false, differing));
        }
    }
}
