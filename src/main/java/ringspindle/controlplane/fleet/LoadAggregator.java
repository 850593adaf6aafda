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
 * Sums what data nodes saw of engines: what reports here, over the region, and by service over all regions. Guarded by the
 * fleet's lock.
 */
public final class LoadAggregator {
    /** Sums of up to so many engines of a region go to its data nodes each time. */
    private static final int ROWS_A_SEND = 250;
    /** However many engines there are, sums go to data nodes at least once in so many times. */
    private static final int SENDS_SKIPPED_MAX = 4;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** A report counts for so long. */
    private static final int REPORT_TTL_MS = 2000;
    /** A region's sum counts for so long. */
    private static final int REGION_TTL_MS = 2500;

    private final NodeId me;
    private final long incarnation;
    private final Mesh mesh;
    private final SessionTable sessions;
    private final FleetFacts facts;
    /** Reports of data nodes to this node. */
    private final ReportCollector sources = new ReportCollector(REPORT_TTL_MS);
    /** Sums of the region's other control nodes. */
    private final ReportCollector peers = new ReportCollector(REPORT_TTL_MS);

    private final Map<String, Long> regionHeardMs = new TreeMap<>();
    private final Map<String, List<RegionLoad>> regionLoads = new TreeMap<>();
    private String region;
    private long sequence;
    private LoadSummary total = LoadSummary.NONE;

    LoadAggregator(NodeConfig config, Hello self, Mesh mesh, SessionTable sessions, FleetFacts facts) {
        region = config.region();
        me = self.node();
        incarnation = self.life();
        this.mesh = mesh;
        this.sessions = sessions;
        this.facts = facts;
    }

    /** Settings changed while running. */
    void updateSettings(NodeConfig changed) {
        region = changed.region();
    }

    /** A session says which incarnation of its node counts from now on. */
    public void onSessionOpened(Hello peer) {
        sources.onSessionOpened(peer.node(), peer.life());
        peers.onSessionOpened(peer.node(), peer.life());
    }

    /** The session of a data node is gone: what it said here counts no more. */
    public void onSessionClosed(NodeId peer) {
        sources.onSessionClosed(peer);
    }

    /** A report came; it counts only if it is of the incarnation that the session stands for. */
    public void onReport(NodeId from, Report report, long nowMs) {
        SessionTable.Peer peer = sessions.peer(from);
        if (peer == null || peer.hello().life() != report.life()) {
            return;
        }
        ReportCollector collector = peer.hello().kind() == NodeKind.CONTROL ? peers : sources;
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
            report.sources().forEach(source -> sources.onReportedElsewhere(source.node(), source.life(), source.seq()));
        }
    }

    /** Another region's sums came. */
    public void onRegionLoads(Load load, long nowMs) {
        for (RegionLoad reported : load.regions()) {
            String other = reported.region();
            if (!other.equals(region)) {
                regionHeardMs.put(other, nowMs);
                regionLoads.put(other, loadsOf(other, load));
            }
        }
    }

    private static List<RegionLoad> loadsOf(String region, Load load) {
        return load.regions().stream()
                .filter(reported -> reported.region().equals(region))
                .toList();
    }

    /** Sums go to the region's other control nodes, back to data nodes, and by service to other regions. */
    public void send(long nowMs) {
        LoadSummary own = sources.sum(nowMs);
        total = own.merge(peers.sum(nowMs));
        sequence++;
        boolean speaks = sendToRegion(own, nowMs).equals(me);
        List<RegionLoad> ownRegion = LoadTotals.byService(total, facts.loadMembers(), region);
        Load toDataNodes = new Load(incarnation, sequence, LoadTotals.byEngine(total), allRegions(ownRegion, nowMs));
        Set<NodeId> reporting = isDueToDataNodes(toDataNodes.engines().size()) ? sources.sources(nowMs) : Set.of();
        for (SessionTable.Peer peer : sessions.peers()) {
            Hello hello = peer.hello();
            if (hello.kind() != NodeKind.CONTROL && reporting.contains(hello.node())) {
                mesh.send(hello.node(), toDataNodes);
            } else if (hello.kind() == NodeKind.CONTROL
                    && speaks
                    && !hello.region().equals(region)) {
                mesh.send(hello.node(), new Load(incarnation, sequence, List.of(), ownRegion));
            }
        }
    }

    /** Sums go to data nodes more rarely the longer they are, so that they take no more than a share of a link. */
    private boolean isDueToDataNodes(int rows) {
        long everySends = Math.min(SENDS_SKIPPED_MAX, 1 + rows / ROWS_A_SEND);
        return sequence % everySends == 0;
    }

    /** Notes this region's sums and returns those of all regions that still count. */
    private List<RegionLoad> allRegions(List<RegionLoad> ownRegion, long nowMs) {
        regionLoads.put(region, ownRegion);
        regionHeardMs.put(region, nowMs);
        regionHeardMs.values().removeIf(heardMs -> nowMs - heardMs > REGION_TTL_MS);
        regionLoads.keySet().retainAll(regionHeardMs.keySet());
        List<RegionLoad> all = new ArrayList<>();
        regionLoads.values().forEach(all::addAll);
        return all;
    }

    /** Tells the region's other control nodes; returns the lowest of all of them, which speaks for the region. */
    private NodeId sendToRegion(LoadSummary own, long nowMs) {
        Report report = new Report(
                incarnation,
                sequence,
                own.toReport(incarnation, sequence).tallies(),
                facts.presence().ownHeartbeats(nowMs),
                sources.countedReports(nowMs));
        NodeId speaker = me;
        for (SessionTable.Peer peer : sessions.peers()) {
            Hello hello = peer.hello();
            if (hello.kind() == NodeKind.CONTROL
                    && peer.linked()
                    && hello.region().equals(region)) {
                mesh.send(hello.node(), report);
                speaker = hello.node().compareTo(speaker) < 0 ? hello.node() : speaker;
            }
        }
        return speaker;
    }

    /** The sums as this node last made them. */
    public LoadSummary total() {
        return total;
    }
}
