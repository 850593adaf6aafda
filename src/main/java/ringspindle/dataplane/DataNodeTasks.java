package ringspindle.dataplane;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.Executor;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.proxy.Proxy;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;

/**
 * The periodic work of a data node. Owns the count of ticks, guarded by the lock of {@link GossipState}: the shutdown ticks
 * once from a thread of its own.
 */
final class DataNodeTasks {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int DIAL_TICKS = 2;
    private static final int REPORT_TICKS = 5;
    private static final int LOG_TICKS = 100;
    private static final int GOSSIP_FACTS_MAX = 256;

    private final MonotonicClock clock;
    private final Mesh mesh;
    private final Executor pool;
    private final GossipState gossip;
    private final HeartbeatSender heartbeats;
    private final PeerDialer dialer;
    private final LoadReporter reporter;
    private final Proxy proxy;
    private final NodeComponent component;
    private long ticks;

    DataNodeTasks(
            MonotonicClock clock,
            Mesh mesh,
            Executor pool,
            GossipState gossip,
            HeartbeatSender heartbeats,
            PeerDialer dialer,
            LoadReporter reporter,
            Proxy proxy,
            NodeComponent component) {
        this.clock = clock;
        this.mesh = mesh;
        this.pool = pool;
        this.gossip = gossip;
        this.heartbeats = heartbeats;
        this.dialer = dialer;
        this.reporter = reporter;
        this.proxy = proxy;
        this.component = component;
    }

    /** Runs what is due. */
    void tick() {
        long nowMs = clock.nowMs();
        long tick;
        synchronized (gossip.lock) {
            tick = ++ticks;
            for (NodeId silent : gossip.sessions().peersToDrop(nowMs)) {
                pool.execute(() -> mesh.drop(silent));
            }
            if (tick % DIAL_TICKS == 0) {
                dialer.dial(nowMs);
                dialer.surplus().ifPresent(abroad -> pool.execute(() -> mesh.drop(abroad)));
            }
            tellPeers(tick);
        }
        component.tick(nowMs);
        proxy.probeEngines();
        if (tick % REPORT_TICKS == 0) {
            proxy.closeIdleConnections();
            synchronized (gossip.lock) {
                reporter.report(tick, nowMs);
            }
        }
        if (tick % LOG_TICKS == 0) {
            LOG.atInfo().log("actions %s", proxy.endCounts());
        }
    }

    /** Heartbeats to all peers, and facts to data nodes. */
    private void tellPeers(long tick) {
        boolean heartbeatDue = heartbeats.due(tick);
        for (SessionTable.Peer peer : gossip.sessions().peers()) {
            NodeId node = peer.hello().node();
            if (heartbeatDue) {
                heartbeats.send(node);
            }
            if (peer.hello().kind() == NodeKind.DATA) {
                List<Fact> pending = gossip.facts().pending(node, GOSSIP_FACTS_MAX);
                if (!pending.isEmpty()) {
                    mesh.send(node, new News(false, pending));
                }
            }
        }
    }
}
