package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ringspindle.config.NodeConfig;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.FrontendResolver;
import ringspindle.controlplane.fleet.LedgerReportStore;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.controlplane.fleet.Resolution;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.Proximity;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.telemetry.LoadSummary;

/** Answers queries of engines, clients and operators about the fleet. Thread safe and stateless. */
public final class FleetQueries {
    /**
     * A session as shown to operators.
     *
     * @param hello the identity announced by the peer
     * @param linked heartbeats were exchanged recently in both directions
     * @param ready the peer announces that it accepts requests
     */
    public record Session(Hello hello, boolean linked, boolean ready) {}

    private final NodeContext context;
    private final FleetState fleet;
    private final QuorumTracker quorum;

    FleetQueries(NodeContext context, FleetState fleet, QuorumTracker quorum) {
        this.context = context;
        this.fleet = fleet;
        this.quorum = quorum;
    }

    /**
     * Selects data nodes for a client with {@link FrontendResolver}.
     *
     * @param host the host that the client wants to connect to
     */
    public Resolution resolve(String host, String region, String zone) {
        synchronized (fleet.lock) {
            long nowMs = context.nowMs();
            fleet.sessions().advance(nowMs);
            boolean majorityReachable = quorum.majorityReachable(nowMs);
            Resolution resolution = fleet.frontends()
                    .resolve(region, zone, () -> fleet.homeRegions().of(host), majorityReachable, nowMs);
            fleet.resolutions()
                    .recordAnswer(region, resolution.scope(), () -> describeBasis(host, majorityReachable, nowMs));
            return resolution;
        }
    }

    /** Describes the inputs of a resolution, for a log line. */
    private String describeBasis(String host, boolean majorityReachable, long nowMs) {
        return (majorityReachable ? "majority reachable" : "majority unreachable") + "; "
                + fleet.homeRegions().of(host) + "; " + fleet.dataNodes().describe(majorityReachable, nowMs);
    }

    /** Returns the number of resolutions answered by this node, by scope. */
    public Map<String, Long> resolutionCounts() {
        synchronized (fleet.lock) {
            return fleet.resolutions().counts();
        }
    }

    /**
     * Returns the address of the control node that an engine of a zone should call: one in its zone, else one in its
     * region. Empty if no other node is closer than this one.
     */
    public String nearestControlNode(String zone) {
        NodeConfig settings = context.config();
        String region = settings.regionOf(zone);
        if (zone.equals(settings.zone())) {
            return "";
        }
        Proximity nearest = region.equals(settings.region()) ? Proximity.SAME_REGION : Proximity.REMOTE;
        Hello best = null;
        synchronized (fleet.lock) {
            fleet.sessions().advance(context.nowMs());
            for (SessionTable.Peer peer : fleet.sessions().peers()) {
                Proximity proximity = Proximity.of(peer.hello(), zone, region);
                if (peer.serves() && proximity.nearerThan(nearest)) {
                    best = peer.hello();
                    nearest = proximity;
                }
            }
        }
        return best == null ? "" : new NodeId(best.front()).toString();
    }

    /** Returns the state that linked control nodes reported in their latest heartbeats. */
    public List<ShutdownHandover.PeerState> peerStates() {
        List<ShutdownHandover.PeerState> peers = new ArrayList<>();
        synchronized (fleet.lock) {
            fleet.sessions().advance(context.nowMs());
            for (SessionTable.Peer peer : fleet.sessions().peers()) {
                if (peer.hello().kind() == NodeKind.CONTROL && peer.linked()) {
                    Heartbeat newest = peer.heartbeat();
                    boolean relearning = newest.flags().has(NodeFlags.RELEARNING);
                    peers.add(new ShutdownHandover.PeerState(
                            peer.hello().node(), newest.epoch(), newest.seq(), relearning));
                }
            }
        }
        return peers;
    }

    /** Returns all sessions of this node. */
    public List<Session> sessions() {
        List<Session> sessions = new ArrayList<>();
        synchronized (fleet.lock) {
            for (SessionTable.Peer peer : fleet.sessions().peers()) {
                boolean ready = peer.heartbeat().flags().has(NodeFlags.READY);
                sessions.add(new Session(peer.hello(), peer.linked(), ready));
            }
        }
        return sessions;
    }

    /** Returns the known data nodes, and whether the facts about them are still valid. */
    public Map<DataNodeFact, Boolean> dataNodes() {
        synchronized (fleet.lock) {
            return fleet.dataNodes().all(context.nowMs());
        }
    }

    /** Returns the number of known data nodes that accept requests. */
    public int readyDataNodes() {
        synchronized (fleet.lock) {
            return fleet.dataNodes().readyCount();
        }
    }

    /** Returns the latest request ledgers of the data nodes that report to this node, by node. */
    public Map<NodeId, List<LedgerReportStore.Entry>> ledgerReports() {
        synchronized (fleet.lock) {
            return fleet.ledgerReports().all();
        }
    }

    /** Returns the total load as last computed by this node. */
    public LoadSummary load() {
        synchronized (fleet.lock) {
            return fleet.loads().total();
        }
    }

    /** Returns the milliseconds since this node saw a fact change; for engines, since their last heartbeat. */
    public long ageMs(FactKind kind, String key) {
        synchronized (fleet.lock) {
            return fleet.facts().ageMs(kind, key);
        }
    }
}
