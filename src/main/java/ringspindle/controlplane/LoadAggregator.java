package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.config.NodeConfig;
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

/** What data nodes saw of engines, summed here, over the region, and by service over regions. Guarded by its owner. */
final class LoadAggregator {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Ours: how long a report counts, and a region's sum. */
    private static final int REPORT_TTL_MS = 2000;

    private static final int REGION_TTL_MS = 2500;

    private final NodeId me;
    private final long life;
    private final Mesh mesh;
    private final SessionTable sessions;
    private final FleetFacts facts;
    private final ReportCollector sources = new ReportCollector(REPORT_TTL_MS);
    private final ReportCollector peers = new ReportCollector(REPORT_TTL_MS);
    private final Map<String, Long> regionMs = new TreeMap<>();
    private final Map<String, List<RegionLoad>> regions = new TreeMap<>();
    private String region;
    private long seq;
    private LoadSummary total = LoadSummary.NONE;

    LoadAggregator(NodeConfig config, Hello self, Mesh mesh, SessionTable sessions, FleetFacts facts) {
        region = config.region();
        me = self.node();
        life = self.life();
        this.mesh = mesh;
        this.sessions = sessions;
        this.facts = facts;
    }

    void settings(NodeConfig c) {
        region = c.region();
    }

    /** A session says which life of its node counts from now on. */
    void opened(Hello peer) {
        sources.restarted(peer.node(), peer.life());
        peers.restarted(peer.node(), peer.life());
    }

    /** The session of a data node is gone: what it said here counts no more. */
    void closed(NodeId peer) {
        sources.drop(peer);
    }

    void reported(NodeId from, Report r, long nowMs) {
        SessionTable.Peer p = sessions.peer(from);
        if (p == null || p.hello().life() != r.life()) {
            return;
        }
        ReportCollector of = p.hello().kind() == NodeKind.DATA ? sources : peers;
        ReportVerdict t = of.take(from, r, nowMs);
        if (t.refused()) {
            LOG.atWarning().log("report of %s is %s, %s so far", p.hello().name(), t, of.count(t));
            return;
        }
        if (t == ReportVerdict.NEWEST && p.hello().kind() == NodeKind.CONTROL) {
            facts.presence().peers(LoadSummary.of(r), nowMs);
            r.sources().forEach(s -> sources.leave(s.node(), s.life(), s.seq()));
        }
    }

    /** Another region's sums. */
    void heard(Load load, long nowMs) {
        for (RegionLoad g : load.regions()) {
            if (!g.region().equals(region)) {
                regionMs.put(g.region(), nowMs);
                regions.put(
                        g.region(),
                        load.regions().stream()
                                .filter(x -> x.region().equals(g.region()))
                                .toList());
            }
        }
    }

    /** Sums go to the region's other control nodes, back to data nodes, and by service to other regions. */
    void send(long nowMs) {
        LoadSummary own = sources.sum(nowMs);
        total = own.merge(peers.sum(nowMs));
        seq++;
        NodeId speaker = toRegion(own, nowMs);
        List<RegionLoad> mine = LoadTotals.region(total, facts.loadMembers(), region);
        regions.put(region, mine);
        regionMs.put(region, nowMs);
        regionMs.values().removeIf(at -> nowMs - at > REGION_TTL_MS);
        regions.keySet().retainAll(regionMs.keySet());
        List<RegionLoad> all = new ArrayList<>();
        regions.values().forEach(all::addAll);
        Load back = new Load(life, seq, LoadTotals.engines(total), all);
        Set<NodeId> asking = sources.sources(nowMs);
        for (SessionTable.Peer p : sessions.peers()) {
            if (p.hello().kind() == NodeKind.DATA && asking.contains(p.hello().node())) {
                mesh.send(p.hello().node(), back);
            } else if (p.hello().kind() == NodeKind.CONTROL
                    && speaker.equals(me)
                    && !p.hello().region().equals(region)) {
                mesh.send(p.hello().node(), new Load(life, seq, List.of(), mine));
            }
        }
    }

    /** Tells the region's other control nodes; returns which of all of them speaks for the region. */
    private NodeId toRegion(LoadSummary own, long nowMs) {
        Report report = new Report(
                life, seq, own.report(life, seq).tallies(), facts.presence().own(nowMs), sources.holds(nowMs));
        NodeId speaker = me;
        for (SessionTable.Peer p : sessions.peers()) {
            if (p.hello().kind() == NodeKind.CONTROL
                    && p.linked()
                    && p.hello().region().equals(region)) {
                mesh.send(p.hello().node(), report);
                speaker = p.hello().node().compareTo(speaker) < 0 ? p.hello().node() : speaker;
            }
        }
        return speaker;
    }

    /** The sums as this node last made them. */
    LoadSummary total() {
        return total;
    }
}
