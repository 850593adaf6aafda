package ringspindle.dataplane;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import java.util.function.Supplier;
import ringspindle.config.NodeConfig;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.membership.Proximity;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.Outcomes;
import ringspindle.protocol.NodeId;
import ringspindle.proxy.Proxy;
import ringspindle.routing.RequestLedger;
import ringspindle.telemetry.LoadSummary;
import ringspindle.transport.Mesh;

/**
 * Reports what this node saw of engines, and what became of requests, to one control node: the nearest it has a session
 * with. Owns who collects and the numbers of reports; guarded by the lock of {@link GossipState}.
 */
final class LoadReporter {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int LEDGER_TICKS = 20;
    /** A report that says nothing is sent only after so long without one. */
    private static final int IDLE_PERIOD_MS = 1400;

    private static final int WHOLE_OUTCOMES_EVERY = 8;

    private final long incarnation;
    private final Supplier<NodeConfig> config;
    private final Mesh mesh;
    private final GossipState gossip;
    private final LoadBalancer loadBalancer;
    private final Proxy proxy;
    /** Null while there is none. */
    private NodeId collector;

    private long reportSequence;
    private long ledgerSequence;
    private long reportedMs;
    private long outcomesSequence;
    /** Who was last told all outcomes, null before the first. */
    private NodeId outcomesCollector;

    LoadReporter(
            long incarnation,
            Supplier<NodeConfig> config,
            Mesh mesh,
            GossipState gossip,
            LoadBalancer loadBalancer,
            Proxy proxy) {
        this.incarnation = incarnation;
        this.config = config;
        this.mesh = mesh;
        this.gossip = gossip;
        this.loadBalancer = loadBalancer;
        this.proxy = proxy;
    }

    /** Sends the reports that are due with this tick. */
    void report(long tick, long nowMs) {
        chooseCollector();
        if (collector != null) {
            // a control node that is in touch with a majority speaks to this node: it would have told of a halt
            proxy.experiments().renew(nowMs);
            if (tick % LEDGER_TICKS == 0) {
                reportLedger();
                reportOutcomes();
            }
        }
        LoadSummary seen = loadBalancer.summarizeLoad(nowMs);
        boolean due = !seen.isEmpty() || nowMs - reportedMs > IDLE_PERIOD_MS;
        if (collector != null && due) {
            reportedMs = nowMs;
            mesh.send(collector, seen.toReport(incarnation, ++reportSequence));
        }
    }

    private void chooseCollector() {
        NodeId nearest = nearest();
        if (collector != null && !collector.equals(nearest)) {
            // what was said there counts no more
            mesh.send(collector, LoadSummary.NONE.toReport(incarnation, ++reportSequence));
        }
        collector = nearest;
    }

    /** The nearest control node that serves; of those equally near the present collector, else the first. */
    private NodeId nearest() {
        NodeConfig settings = config.get();
        NodeId best = null;
        Proximity bestProximity = null;
        for (SessionTable.Peer peer : gossip.sessions().peers()) {
            if (!peer.serves()) {
                continue;
            }
            NodeId node = peer.hello().node();
            Proximity proximity = Proximity.of(peer.hello(), settings.zone(), settings.region());
            boolean better = best == null
                    || proximity.nearerThan(bestProximity)
                    || (proximity == bestProximity && node.equals(collector));
            if (better) {
                best = node;
                bestProximity = proximity;
            }
        }
        return best;
    }

    /** Sums since the start; all of them to a new collector and now and then, as a connection may have lost some. */
    private void reportOutcomes() {
        boolean whole = !collector.equals(outcomesCollector) || outcomesSequence % WHOLE_OUTCOMES_EVERY == 0;
        outcomesCollector = collector;
        String region = config.get().region();
        for (Outcomes report : proxy.outcomes().report(incarnation, ++outcomesSequence, region, whole)) {
            mesh.send(collector, report);
        }
    }

    private void reportLedger() {
        LedgerReport ledger = proxy.ledgerReport(incarnation, ++ledgerSequence);
        Set<RequestLedger.Violation> violations = RequestLedger.violations(ledger);
        if (!violations.isEmpty()) {
            LOG.atSevere().log("the ledger breaks %s", violations);
        }
        mesh.send(collector, ledger);
    }
}
