package ringspindle.dataplane;

import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.proxy.Proxy;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;

/** Tells peers how this data node is. Owns whether the node leaves; sends with the lock of {@link GossipState} held. */
final class HeartbeatSender {
    private static final int PERIOD_TICKS = 4;

    /** Where a node is between its start and its end. */
    private enum Lifecycle {
        RUNNING,
        LEAVING
    }

    private final MonotonicClock clock;
    private final Mesh mesh;
    private final GossipState gossip;
    private final Proxy proxy;
    private volatile Lifecycle lifecycle = Lifecycle.RUNNING;

    HeartbeatSender(MonotonicClock clock, Mesh mesh, GossipState gossip, Proxy proxy) {
        this.clock = clock;
        this.mesh = mesh;
        this.gossip = gossip;
        this.proxy = proxy;
    }

    /** From now on heartbeats say that this node leaves. */
    void leave() {
        lifecycle = Lifecycle.LEAVING;
    }

    /** True if heartbeats go out with this tick; a node that leaves sends them with every tick. */
    boolean due(long tick) {
        return lifecycle == Lifecycle.LEAVING || tick % PERIOD_TICKS == 0;
    }

    /** Sends a heartbeat to a peer. */
    void send(NodeId to) {
        NodeFlags flags = lifecycle == Lifecycle.LEAVING
                ? NodeFlags.LEAVING.and(NodeFlags.STILL_SERVING.when(proxy.acceptsRequests()))
                : NodeFlags.READY.when(proxy.isReady());
        long digest = gossip.facts().digest();
        mesh.send(to, gossip.sessions().nextHeartbeat(to, flags.and(NodeFlags.FRAGMENTS), 0, 0, digest, clock.nowMs()));
    }
}
