package ringspindle.controlplane.fleet;

import java.util.function.Function;
import ringspindle.config.NodeConfig;
import ringspindle.experiment.OutcomeCollector;
import ringspindle.gossip.FactStore;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.transport.Mesh;

/**
 * What this node has learnt of the fleet: sessions with peers, facts, load and reports.
 *
 * <p>All of it is guarded by {@link #lock}, and whoever uses a part holds the lock meanwhile; tests run with assertions that
 * check it. Messages that tell peers of it are sent while the lock is held: heartbeats carry numbers that must rise on a
 * connection, and what a peer has been sent is marked in the same step. Sending only queues. No other lock may be taken
 * while this one is held.
 */
public final class FleetState {
    /** Guards everything here. */
    public final Object lock = new Object();

    private final SessionTable sessions;
    private final FleetFacts facts;
    private final DataNodeDirectory dataNodes;
    private final FrontendResolver frontends;
    private final HomeRegions homeRegions;
    private final ResolutionLog resolutions = new ResolutionLog();
    private final LoadAggregator loads;
    private final FactDissemination dissemination;
    private final QuotaLeaseIssuer leases;
    private final LedgerReportStore ledgerReports = new LedgerReportStore();
    private final OutcomeCollector outcomes = new OutcomeCollector();

    /** Knows nothing of other nodes yet; the greeting is that of this node. */
    public FleetState(NodeContext context, Hello self) {
        NodeId me = context.self();
        NodeConfig config = context.config();
        Mesh mesh = context.mesh();
        sessions = SessionTable.forControl(me);
        facts = new FleetFacts(config, context.clock());
        dataNodes = new DataNodeDirectory(me, sessions, facts);
        frontends = new FrontendResolver(dataNodes);
        homeRegions = new HomeRegions(facts.store());
        loads = new LoadAggregator(config, self, mesh, sessions, facts);
        dissemination = new FactDissemination(mesh, sessions, facts);
        leases = new QuotaLeaseIssuer(me, facts, dataNodes);
    }

    /** Settings changed while running. */
    public void updateSettings(NodeConfig config) {
        synchronized (lock) {
            facts.updateSettings(config);
            loads.updateSettings(config);
        }
    }

    /** Reads facts; takes the lock itself. */
    public <T> T read(Function<FactStore, T> reader) {
        synchronized (lock) {
            return reader.apply(facts.store());
        }
    }

    /** Sessions with peers; the lock is held. */
    public SessionTable sessions() {
        assert Thread.holdsLock(lock);
        return sessions;
    }

    /** Facts and when they were learnt; the lock is held. */
    public FleetFacts facts() {
        assert Thread.holdsLock(lock);
        return facts;
    }

    /** Regions that may serve a host; the lock is held. */
    public HomeRegions homeRegions() {
        assert Thread.holdsLock(lock);
        return homeRegions;
    }

    /** Which data nodes a client is told of; the lock is held. */
    public FrontendResolver frontends() {
        assert Thread.holdsLock(lock);
        return frontends;
    }

    /** What clients were answered that asked where to go; the lock is held. */
    public ResolutionLog resolutions() {
        assert Thread.holdsLock(lock);
        return resolutions;
    }

    /** Data nodes; the lock is held. */
    public DataNodeDirectory dataNodes() {
        assert Thread.holdsLock(lock);
        return dataNodes;
    }

    /** Load of engines and regions; the lock is held. */
    public LoadAggregator loads() {
        assert Thread.holdsLock(lock);
        return loads;
    }

    /** What peers have been sent; the lock is held. */
    public FactDissemination dissemination() {
        assert Thread.holdsLock(lock);
        return dissemination;
    }

    /** Shares of the budgets; the lock is held. */
    public QuotaLeaseIssuer leases() {
        assert Thread.holdsLock(lock);
        return leases;
    }

    /** What became of requests that take part in experiments; the lock is held. */
    public OutcomeCollector outcomes() {
        assert Thread.holdsLock(lock);
        return outcomes;
    }

    /** The data nodes' request ledgers; the lock is held. */
    public LedgerReportStore ledgerReports() {
        assert Thread.holdsLock(lock);
        return ledgerReports;
    }
}
