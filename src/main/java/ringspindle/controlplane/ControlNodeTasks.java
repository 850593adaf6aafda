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
 * The periodic work of a control node, one step after the other on every tick. Owns the count of ticks and whom this node
 * dials; called by one thread at a time.
 */
final class ControlNodeTasks {
    private static final int DATA_HEARTBEAT_TICKS = 4;
    private static final int CONTROL_HEARTBEAT_TICKS = 2;
    private static final int DIAL_TICKS = 2;
    private static final int LOAD_TICKS = 5;
    private static final int ENGINE_CACHE_TICKS = 20;
    /** So many of their heartbeats engines get to be heard after this node was out of touch. */
    private static final int ENGINE_HEARTBEATS = 4;

    /**
     * What sessions say at the start of a tick.
     *
     * @param live control nodes in touch
     * @param heard control nodes that peers hear
     * @param heartbeatTo whose heartbeat is due
     */
    private record Survey(Set<NodeId> live, Set<NodeId> heard, List<NodeId> heartbeatTo) {}

    private final NodeContext context;
    private final Storage storage;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final CounterDriver counters;
    private final QuorumTracker quorum;
    private final ServingState serving;
    private final HeartbeatExchange heartbeats;
    private final CommittedFacts committedFacts;
    private final HeadDuties headDuties;
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
            CommittedFacts committedFacts,
            HeadDuties headDuties) {
        this.context = context;
        this.storage = storage;
        this.fleet = fleet;
        this.replication = replication;
        this.counters = counters;
        this.quorum = quorum;
        this.serving = serving;
        this.heartbeats = heartbeats;
        this.committedFacts = committedFacts;
        this.headDuties = headDuties;
        dialer = new ControlPeerDialer(context.self());
    }

    /** Runs what is due. */
    void tick() {
        long nowMs = context.nowMs();
        ticks++;
        Survey survey = survey(nowMs);
        View view = replicate(survey.live(), nowMs);
        counters.tick(survey.live(), view, nowMs);
        dial(survey.heard(), view);
        survey.heartbeatTo().forEach(heartbeats::send);
        headDuties.tick(view, serving.quorate(), hearsEngines(nowMs), ticks, nowMs);
        synchronized (fleet.lock) {
            fleet.dataNodes().tick(nowMs);
            fleet.leases().tick(view, serving.quorate(), ticks, nowMs);
            exchangeLoad(nowMs);
            committedFacts.spread();
            if (due(ENGINE_CACHE_TICKS)) {
                storage.cacheEngines(fleet.facts().store().all(FactKind.ENGINE));
            }
        }
    }

    private boolean due(int periodTicks) {
        return ticks % periodTicks == 0;
    }

    /** Drops silent peers and looks through the sessions. */
    private Survey survey(long nowMs) {
        Set<NodeId> live = new TreeSet<>();
        Set<NodeId> heard = new TreeSet<>();
        List<NodeId> heartbeatTo = new ArrayList<>();
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
                    heard.addAll(peer.heartbeat().heard());
                }
                int periodTicks = kind == NodeKind.CONTROL ? CONTROL_HEARTBEAT_TICKS : DATA_HEARTBEAT_TICKS;
                if (due(periodTicks) || serving.leaving()) {
                    heartbeatTo.add(node);
                }
            }
        }
        return new Survey(live, heard, heartbeatTo);
    }

    /** Lets time go on for the replicated state, then renews the proof of a quorum; returns the newest view or null. */
    private View replicate(Set<NodeId> live, long nowMs) {
        ReplicationDriver.TickResult result =
                replication.tick(nowMs, new PeerConnectivity(context, fleet, serving, live));
        serving.hearsCommits(result.current());
        synchronized (fleet.lock) {
            quorum.renew(nowMs, context.self(), result.blank() ? null : result.view(), this::contact);
        }
        return result.view();
    }

    /** What a control node's newest heartbeat proves, null if there is no session; the fleet's lock is held. */
    private QuorumTracker.Contact contact(NodeId node) {
        SessionTable.Peer peer = fleet.sessions().peer(node);
        if (peer == null) {
            return null;
        }
        Heartbeat newest = peer.heartbeat();
        boolean blank = newest.flags().has(NodeFlags.RELEARNING);
        return new QuorumTracker.Contact(peer.contactMs(), newest.epoch(), blank);
    }

    /** Dials whom {@link ControlPeerDialer} names. */
    private void dial(Set<NodeId> heard, View view) {
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
                new ControlPeerDialer.Roster(seeds, voters, heard, quorum.majorityReachable(nowMs));
        dialer.due(roster, context.mesh()::connected, nowMs).forEach(context.mesh()::dial);
    }

    /** Judges engines and passes load on; the fleet's lock is held. */
    private void exchangeLoad(long nowMs) {
        if (!due(LOAD_TICKS)) {
            return;
        }
        if (hearsEngines(nowMs)) {
            fleet.facts().updateEnginePresence(nowMs);
        }
        fleet.loads().send(nowMs);
    }

    /** True once engines had the time to be heard here: a node that was out of touch refused their heartbeats. */
    private boolean hearsEngines(long nowMs) {
        return quorum.heldMs(nowMs)
                >= (long) ENGINE_HEARTBEATS * context.config().engineBeatMs();
    }
}
