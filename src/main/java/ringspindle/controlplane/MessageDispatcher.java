package ringspindle.controlplane;

import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.CounterAdds;
import ringspindle.protocol.Message.CounterSnapshot;
import ringspindle.protocol.Message.CounterVector;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.Message.Outcomes;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.protocol.TenantMessage.QuotaAsk;
import ringspindle.protocol.TenantMessage.QuotaGrant;
import ringspindle.protocol.TenantMessage.UsageReport;
import ringspindle.transport.Mesh;

/** Routes each message received over the mesh to the handler for its type. Called by pool threads. */
final class MessageDispatcher implements Mesh.Listener {
    private final NodeContext context;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final CounterDriver counters;
    private final HeartbeatExchange heartbeats;
    private final FactHandler facts;
    private final LoadHandler loads;
    private final QuotaHandler quotas;
    private final UsageHandler usage;

    MessageDispatcher(
            NodeContext context,
            FleetState fleet,
            ReplicationDriver replication,
            CounterDriver counters,
            HeartbeatExchange heartbeats,
            FactHandler facts,
            LoadHandler loads,
            QuotaHandler quotas,
            UsageHandler usage) {
        this.context = context;
        this.fleet = fleet;
        this.replication = replication;
        this.counters = counters;
        this.heartbeats = heartbeats;
        this.facts = facts;
        this.loads = loads;
        this.quotas = quotas;
        this.usage = usage;
    }

    @Override
    public void opened(Hello peer) {
        long nowMs = context.nowMs();
        synchronized (fleet.lock) {
            fleet.sessions().opened(peer, nowMs);
            fleet.loads().onSessionOpened(peer);
            fleet.dissemination().onSessionOpened(peer.node());
        }
        if (peer.kind() == NodeKind.CONTROL) {
            replication.opened(peer.node(), nowMs);
            counters.connected(peer.node());
        }
        heartbeats.send(peer.node());
    }

    @Override
    public void received(NodeId from, Message message) {
        long nowMs = context.nowMs();
        if (message instanceof Heartbeat heartbeat) {
            heartbeats.received(from, heartbeat, nowMs);
            if (heartbeat.flags().has(NodeFlags.COUNTERS)) {
                counters.peerReplicaDiscovered(from, nowMs);
            }
        } else if (message instanceof News news) {
            facts.received(from, news);
        } else if (message instanceof Report report) {
            loads.received(from, report, nowMs);
        } else if (message instanceof LedgerReport report) {
            loads.received(from, report);
        } else if (message instanceof Outcomes outcomes) {
            loads.received(from, outcomes, nowMs);
        } else if (message instanceof Load load) {
            loads.received(load, nowMs);
        } else if (message instanceof QuotaAsk ask) {
            quotas.received(from, ask);
        } else if (message instanceof QuotaGrant grant) {
            quotas.received(grant);
        } else if (message instanceof UsageReport report) {
            usage.received(from, report);
        } else if (message instanceof Digest digest) {
            facts.received(from, digest);
        } else if (message instanceof CounterAdds
                || message instanceof CounterVector
                || message instanceof CounterSnapshot) {
            counters.received(from, message, nowMs);
        } else {
            replication.received(from, message, nowMs);
        }
    }

    @Override
    public void closed(NodeId peer) {
        synchronized (fleet.lock) {
            if (context.mesh().connected(peer)) {
                // a newer connection already exists, and the session belongs to it or soon will
                return;
            }
            SessionTable.Peer session = fleet.sessions().peer(peer);
            boolean heardDataNode = session != null
                    && session.hello().kind() != NodeKind.CONTROL
                    && session.heartbeat().n() > 0;
            if (heardDataNode) {
                fleet.dataNodes().onSessionClosed(session);
                fleet.loads().onSessionClosed(peer);
            }
            fleet.sessions().closed(peer);
            fleet.dissemination().onSessionClosed(peer);
        }
    }
}
