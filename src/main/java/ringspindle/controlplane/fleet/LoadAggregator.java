package ringspindle.controlplane.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.config.NodeConfig;
import ringspindle.logging.LogField;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.RegionLoad;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.telemetry.LoadSummary;
import ringspindle.telemetry.LoadTotals;
import ringspindle.telemetry.ReportCollector;
import ringspindle.telemetry.ReportVerdict;
import ringspindle.transport.Mesh;

/**
 * Aggregates the load of engines that data nodes report: over the reports to this node, over the region, and by service
 * over all regions. Guarded by the fleet's lock.
 */
public final class LoadAggregator {
    /** Data nodes get the load with each send if it has fewer rows, one per engine, than this. */
    private static final int ROWS_PER_SEND = 250;
    /** However many engines there are, data nodes get the load at least once in this many sends. */
    private static final int MAX_UPDATE_INTERVAL_SENDS = 4;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** A report counts for this long. */
    private static final int REPORT_TTL_MS = 2000;
    /** The load of a region counts for this long. */
    private static final int REGION_TTL_MS = 2500;

    private final NodeId self;
    private final long incarnation;
    private final Mesh mesh;
    private final SessionTable sessions;
    private final FleetFacts facts;
    /** Reports from data nodes to this node. */
    private final ReportCollector dataNodeReports = new ReportCollector(REPORT_TTL_MS);
    /** Totals from the region's other control nodes. */
    private final ReportCollector controlNodeReports = new ReportCollector(REPORT_TTL_MS);

    private final Map<String, Long> regionReceivedMs = new TreeMap<>();
    private final Map<String, List<RegionLoad>> regionLoads = new TreeMap<>();
    private String region;
    private long sequence;
    private LoadSummary total = LoadSummary.NONE;

    LoadAggregator(NodeConfig config, Hello hello, Mesh mesh, SessionTable sessions, FleetFacts facts) {
        region = config.region();
        self = hello.node();
        incarnation = hello.life();
        this.mesh = mesh;
        this.sessions = sessions;
        this.facts = facts;
    }

    /** Applies settings that changed while running. */
    void updateSettings(NodeConfig changed) {
        region = changed.region();
    }

    /** A session opened: from now on the reports of the incarnation that opened it count. */
    public void onSessionOpened(Hello peer) {
        dataNodeReports.onSessionOpened(peer.node(), peer.life());
        controlNodeReports.onSessionOpened(peer.node(), peer.life());
    }

    /** The session of a data node closed: its reports to this node no longer count. */
    public void onSessionClosed(NodeId peer) {
        dataNodeReports.onSessionClosed(peer);
    }

    /** Takes a report; it counts only if it comes from the incarnation that opened the session. */
    public void onReport(NodeId from, Report report, long nowMs) {
        SessionTable.Peer peer = sessions.peer(from);
        if (peer == null || peer.hello().life() != report.life()) {
            return;
        }
        ReportCollector collector = peer.hello().kind() == NodeKind.CONTROL ? controlNodeReports : dataNodeReports;
        ReportVerdict verdict = collector.accept(from, report, nowMs);
        if (verdict.isRejected()) {
            LOG.atWarning()
                    .with(LogField.NODE, peer.hello().name())
                    .with(LogField.REASON, verdict)
                    .with(LogField.COUNT, collector.count(verdict))
                    .log("load report rejected");
            return;
        }
        if (verdict == ReportVerdict.NEWEST && peer.hello().kind() == NodeKind.CONTROL) {
            facts.presence().onPeerHeartbeats(LoadSummary.of(report), nowMs);
            report.sources()
                    .forEach(source -> dataNodeReports.onReportedElsewhere(source.node(), source.life(), source.seq()));
        }
    }

    /** Takes the load of another region. */
    public void onRegionLoads(Load load, long nowMs) {
        for (RegionLoad reported : load.regions()) {
            String other = reported.region();
            if (!other.equals(region)) {
                regionReceivedMs.put(other, nowMs);
                regionLoads.put(other, loadsOf(other, load));
            }
        }
    }

    private static List<RegionLoad> loadsOf(String region, Load load) {
        return load.regions().stream()
                .filter(reported -> reported.region().equals(region))
                .toList();
    }

    /**
     * Sends the aggregated load to the region's other control nodes and to the data nodes that report here, and by
     * service to other regions.
     */
    public void send(long nowMs) {
        LoadSummary own = dataNodeReports.sum(nowMs);
        total = own.merge(controlNodeReports.sum(nowMs));
        sequence++;
        boolean isRepresentative = sendToRegion(own, nowMs).equals(self);
        List<RegionLoad> ownRegion = LoadTotals.byService(total, facts.loadMembers(), region);
        Load dataNodeLoad = new Load(incarnation, sequence, LoadTotals.byEngine(total), allRegions(ownRegion, nowMs));
        Set<NodeId> reporting =
                isDueForDataNodes(dataNodeLoad.engines().size()) ? dataNodeReports.sources(nowMs) : Set.of();
        for (SessionTable.Peer peer : sessions.peers()) {
            Hello hello = peer.hello();
            if (hello.kind() != NodeKind.CONTROL && reporting.contains(hello.node())) {
                mesh.send(hello.node(), dataNodeLoad);
            } else if (hello.kind() == NodeKind.CONTROL
                    && isRepresentative
                    && !hello.region().equals(region)) {
                mesh.send(hello.node(), new Load(incarnation, sequence, List.of(), ownRegion));
            }
        }
    }

    /** Data nodes get the load less often the more rows it has, which bounds the share of a link that it takes. */
    private boolean isDueForDataNodes(int rows) {
        long sendInterval = Math.min(MAX_UPDATE_INTERVAL_SENDS, 1 + rows / ROWS_PER_SEND);
        return sequence % sendInterval == 0;
    }

    /** Records the load of this region and returns that of all regions which has not expired. */
    private List<RegionLoad> allRegions(List<RegionLoad> ownRegion, long nowMs) {
        regionLoads.put(region, ownRegion);
        regionReceivedMs.put(region, nowMs);
        regionReceivedMs.values().removeIf(receivedMs -> nowMs - receivedMs > REGION_TTL_MS);
        regionLoads.keySet().retainAll(regionReceivedMs.keySet());
        List<RegionLoad> all = new ArrayList<>();
        regionLoads.values().forEach(all::addAll);
        return all;
    }

    /**
     * Reports to the region's other control nodes; returns the lowest of all of them, which represents the region to
     * others.
     */
    private NodeId sendToRegion(LoadSummary own, long nowMs) {
        Report report = new Report(
                incarnation,
                sequence,
                own.toReport(incarnation, sequence).tallies(),
                facts.presence().ownHeartbeats(nowMs),
                dataNodeReports.countedReports(nowMs));
        NodeId representative = self;
        for (SessionTable.Peer peer : sessions.peers()) {
            Hello hello = peer.hello();
            if (hello.kind() == NodeKind.CONTROL
                    && peer.linked()
                    && hello.region().equals(region)) {
                mesh.send(hello.node(), report);
                representative = hello.node().compareTo(representative) < 0 ? hello.node() : representative;
            }
        }
        return representative;
    }

    /** The load of the region as this node last aggregated it. */
    public LoadSummary total() {
        return total;
    }
}
