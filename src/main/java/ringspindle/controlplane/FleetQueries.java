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

/** What engines, clients and operators ask of the fleet. Thread safe; without state of its own. */
public final class FleetQueries {
    /**
     * A session, as operators see it.
     *
     * @param hello what the peer says of itself
     * @param linked both sides heard each other lately
     * @param ready the peer says that it takes requests
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
     * Data nodes for a client, by {@link FrontendResolver}.
     *
     * @param host the host that the client asks for
     */
    public Resolution resolve(String host, String region, String zone) {
        synchronized (fleet.lock) {
            long nowMs = context.nowMs();
            fleet.sessions().advance(nowMs);
            boolean inTouch = quorum.majorityReachable(nowMs);
            Resolution resolution = fleet.frontends()
                    .resolve(region, zone, () -> fleet.homeRegions().of(host), inTouch, nowMs);
            fleet.resolutions().recordAnswer(region, resolution.scope(), () -> basis(host, inTouch, nowMs));
            return resolution;
        }
    }

    /** What an answer of the directory rests on, for a log line. */
    private String basis(String host, boolean inTouch, long nowMs) {
        return (inTouch ? "in touch" : "cut off") + "; " + fleet.homeRegions().of(host) + "; "
                + fleet.dataNodes().describe(inTouch, nowMs);
    }

    /** How many answers of the directory this node has given, by scope. */
    public Map<String, Long> resolutionCounts() {
        synchronized (fleet.lock) {
            return fleet.resolutions().counts();
        }
    }

    /**
     * The address of the control node that an engine of a zone should call: one in its zone, else in its region; empty if
     * this node will do.
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

    /** What control nodes in touch last said that they hold. */
    public List<ShutdownHandover.PeerState> peerStates() {
        List<ShutdownHandover.PeerState> holders = new ArrayList<>();
        synchronized (fleet.lock) {
            fleet.sessions().advance(context.nowMs());
            for (SessionTable.Peer peer : fleet.sessions().peers()) {
                if (peer.hello().kind() == NodeKind.CONTROL && peer.linked()) {
                    Heartbeat newest = peer.heartbeat();
                    boolean blank = newest.flags().has(NodeFlags.RELEARNING);
                    holders.add(
                            new ShutdownHandover.PeerState(peer.hello().node(), newest.epoch(), newest.seq(), blank));
                }
            }
        }
        return holders;
    }

    /** All sessions of this node. */
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

    /** Data nodes as known here, and whether their facts still hold. */
    public Map<DataNodeFact, Boolean> dataNodes() {
        synchronized (fleet.lock) {
            return fleet.dataNodes().all(context.nowMs());
        }
    }

    /** How many data nodes take requests, as known here. */
    public int readyDataNodes() {
        synchronized (fleet.lock) {
            return fleet.dataNodes().readyCount();
        }
    }

    /** The newest request ledgers of the data nodes that report here, by node. */
    public Map<NodeId, List<LedgerReportStore.Entry>> ledgerReports() {
        synchronized (fleet.lock) {
            return fleet.ledgerReports().all();
        }
    }

    /** The load as this node last summed it. */
    public LoadSummary load() {
        synchronized (fleet.lock) {
            return fleet.loads().total();
        }
    }

    /** Milliseconds since a fact last changed, as this node saw it; of engines since they were last heard. */
    public long ageMs(FactKind kind, String key) {
        synchronized (fleet.lock) {
            return fleet.facts().ageMs(kind, key);
        }
    }
}
