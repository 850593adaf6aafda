package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.config.NodeConfig;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.membership.SessionTable;
import ringspindle.peering.ControlPeerDialer;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/**
 * Runs the periodic work of a control node, sequentially on every tick. Owns the tick counter and the choice of peers
 * to dial. Called by one thread at a time.
 */
final class ControlNodeTasks {
    private static final int DATA_NODE_HEARTBEAT_TICKS = 4;
    private static final int CONTROL_NODE_HEARTBEAT_TICKS = 2;
    private static final int DIAL_TICKS = 2;
    private static final int LOAD_TICKS = 5;
    private static final int ENGINE_CACHE_TICKS = 20;
    /** Heartbeat intervals granted to engines to report again after this node was disconnected from a majority. */
    private static final int ENGINE_SETTLING_HEARTBEATS = 4;

    /**
     * State of the sessions at the start of a tick.
     *
     * @param live control nodes with a live link to this node
     * @param reportedByPeers control nodes that peers report receiving heartbeats from
     * @param heartbeatRecipients peers that are due a heartbeat
     */
    private record SessionSummary(Set<NodeId> live, Set<NodeId> reportedByPeers, List<NodeId> heartbeatRecipients) {}

    private final NodeContext context;
    private final Storage storage;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final CounterDriver counters;
    private final QuorumTracker quorum;
    private final ServingState serving;
    private final HeartbeatExchange heartbeats;
    private final CommittedFactPublisher factPublisher;
    private final HeadTasks headTasks;
    private final ControlPeerDialer dialer;
    private long ticks;

    ControlNodeTasks(
            NodeContext context,
            Storage storage,
            FleetState fleet,
            ReplicationDriver replication,
            CounterDriver counters,
            QuorumTracker quorum,
            ServingState serving,
            HeartbeatExchange heartbeats,
            CommittedFactPublisher factPublisher,
            HeadTasks headTasks) {
        this.context = context;
        this.storage = storage;
        this.fleet = fleet;
        this.replication = replication;
        this.counters = counters;
        this.quorum = quorum;
        this.serving = serving;
        this.heartbeats = heartbeats;
        this.factPublisher = factPublisher;
        this.headTasks = headTasks;
        dialer = new ControlPeerDialer(context.self());
    }

    /** Runs the work that is due. */
    void tick() {
        long nowMs = context.nowMs();
        ticks++;
        SessionSummary sessions = summarizeSessions(nowMs);
        View view = tickReplication(sessions.live(), nowMs);
        counters.tick(sessions.live(), view, nowMs);
        dial(sessions.reportedByPeers(), view);
        sessions.heartbeatRecipients().forEach(heartbeats::send);
        headTasks.tick(view, serving.quorate(), engineHeartbeatsReceived(nowMs), ticks, nowMs);
        synchronized (fleet.lock) {
            fleet.dataNodes().tick(nowMs);
            fleet.leases().tick(view, serving.quorate(), ticks, nowMs);
            reportLoad(nowMs);
            factPublisher.disseminate();
            if (due(ENGINE_CACHE_TICKS)) {
                storage.cacheEngines(fleet.facts().store().all(FactKind.ENGINE));
            }
        }
    }

    private boolean due(int periodTicks) {
        return ticks % periodTicks == 0;
    }

    /** Drops silent peers and summarizes the remaining sessions. */
    private SessionSummary summarizeSessions(long nowMs) {
        Set<NodeId> live = new TreeSet<>();
        Set<NodeId> reportedByPeers = new TreeSet<>();
        List<NodeId> heartbeatRecipients = new ArrayList<>();
        synchronized (fleet.lock) {
            for (NodeId silent : fleet.sessions().peersToDrop(nowMs)) {
                context.executor().execute(() -> context.mesh().drop(silent));
            }
            for (SessionTable.Peer peer : fleet.sessions().peers()) {
                NodeId node = peer.hello().node();
                NodeKind kind = peer.hello().kind();
                if (kind == NodeKind.CONTROL) {
                    if (peer.linked()) {
                        live.add(node);
                    }
                    reportedByPeers.addAll(peer.heartbeat().heard());
                }
                int periodTicks = kind == NodeKind.CONTROL ? CONTROL_NODE_HEARTBEAT_TICKS : DATA_NODE_HEARTBEAT_TICKS;
                if (due(periodTicks) || serving.leaving()) {
                    heartbeatRecipients.add(node);
                }
            }
        }
        return new SessionSummary(live, reportedByPeers, heartbeatRecipients);
    }

    /** Advances the replicated state, then renews the quorum proof. Returns the latest view, or null without one. */
    private View tickReplication(Set<NodeId> live, long nowMs) {
        ReplicationDriver.TickResult result =
                replication.tick(nowMs, new PeerConnectivity(context, fleet, serving, live));
        serving.setReceivesCommits(result.current());
        synchronized (fleet.lock) {
            quorum.renew(nowMs, context.self(), result.relearning() ? null : result.view(), this::contact);
        }
        return result.view();
    }

    /**
     * Returns what the latest heartbeat of a control node proves, null without a session. The caller holds the fleet
     * lock.
     */
    private QuorumTracker.VoterContact contact(NodeId node) {
        SessionTable.Peer peer = fleet.sessions().peer(node);
        if (peer == null) {
            return null;
        }
        Heartbeat newest = peer.heartbeat();
        boolean relearning = newest.flags().has(NodeFlags.RELEARNING);
        return new QuorumTracker.VoterContact(peer.contactMs(), newest.epoch(), relearning);
    }

    /** Dials the nodes selected by {@link ControlPeerDialer}. */
    private void dial(Set<NodeId> reportedByPeers, View view) {
        if (!due(DIAL_TICKS)) {
            return;
        }
        NodeConfig settings = context.config();
        List<NodeId> seeds = settings.seeds().stream()
                .map(seed -> seed.at(settings.innerPort()))
                .toList();
        List<NodeId> voters = view == null ? List.of() : view.voters();
        long nowMs = context.nowMs();
        ControlPeerDialer.Roster roster =
                new ControlPeerDialer.Roster(seeds, voters, reportedByPeers, quorum.majorityReachable(nowMs));
        dialer.due(roster, context.mesh()::connected, nowMs).forEach(context.mesh()::dial);
    }

    /** Evaluates the state of engines and sends load reports. The caller holds the fleet lock. */
    private void reportLoad(long nowMs) {
        if (!due(LOAD_TICKS)) {
            return;
        }
        if (engineHeartbeatsReceived(nowMs)) {
            fleet.facts().updateEnginePresence(nowMs);
        }
        fleet.loads().send(nowMs);
    }

    /**
     * Returns true once engines have had time to report here. A node that cannot reach a majority rejects their
     * heartbeats, so missing heartbeats say nothing about an engine until then.
     */
    private boolean engineHeartbeatsReceived(long nowMs) {
        return quorum.upToDateForMs(nowMs)
                >= (long) ENGINE_SETTLING_HEARTBEATS * context.config().engineBeatMs();
    }
}
