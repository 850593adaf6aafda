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
 * What a control node knows of the fleet: sessions with peers, facts, load and reports.
 *
 * <p>All parts are guarded by {@link #lock}, and callers hold the lock while they use one; tests run with assertions
 * that check it. Messages about this state are sent while the lock is held: the numbers of heartbeats must rise on a
 * connection, and a fact is marked as sent to a peer in the same step. Sending only queues. No other lock may be taken
 * while this one is held.
 */
public final class FleetState {
    /** Guards all parts of this state. */
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

    /**
     * Creates the state of a node that knows no other nodes yet.
     *
     * @param hello the greeting that this node sends to its peers
     * @param startNumber as for {@link SessionTable#forControl}
     */
    public FleetState(NodeContext context, Hello hello, long startNumber) {
        NodeId self = context.self();
        NodeConfig config = context.config();
        Mesh mesh = context.mesh();
        sessions = SessionTable.forControl(self, startNumber);
        facts = new FleetFacts(config, context.clock());
        dataNodes = new DataNodeDirectory(self, sessions, facts);
        frontends = new FrontendResolver(dataNodes);
        homeRegions = new HomeRegions(facts.store());
        loads = new LoadAggregator(config, hello, mesh, sessions, facts);
        dissemination = new FactDissemination(mesh, sessions, facts);
        leases = new QuotaLeaseIssuer(self, facts, dataNodes);
    }

    /** Applies settings that changed while running. */
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

    /** Facts and the times at which they changed; the lock is held. */
    public FleetFacts facts() {
        assert Thread.holdsLock(lock);
        return facts;
    }

    /** Regions that may serve a host; the lock is held. */
    public HomeRegions homeRegions() {
        assert Thread.holdsLock(lock);
        return homeRegions;
    }

    /** Selection of data nodes for clients; the lock is held. */
    public FrontendResolver frontends() {
        assert Thread.holdsLock(lock);
        return frontends;
    }

    /** Counts of resolutions by scope; the lock is held. */
    public ResolutionLog resolutions() {
        assert Thread.holdsLock(lock);
        return resolutions;
    }

    /** Directory of data nodes; the lock is held. */
    public DataNodeDirectory dataNodes() {
        assert Thread.holdsLock(lock);
        return dataNodes;
    }

    /** Load of engines and regions; the lock is held. */
    public LoadAggregator loads() {
        assert Thread.holdsLock(lock);
        return loads;
    }

    /** Dissemination of facts to peers; the lock is held. */
    public FactDissemination dissemination() {
        assert Thread.holdsLock(lock);
        return dissemination;
    }

    /** Leases on shares of the budgets; the lock is held. */
    public QuotaLeaseIssuer leases() {
        assert Thread.holdsLock(lock);
        return leases;
    }

    /** Outcomes of requests that are part of experiments; the lock is held. */
    public OutcomeCollector outcomes() {
        assert Thread.holdsLock(lock);
        return outcomes;
    }

    /** Request ledgers that data nodes report; the lock is held. */
    public LedgerReportStore ledgerReports() {
        assert Thread.holdsLock(lock);
        return ledgerReports;
    }
}
