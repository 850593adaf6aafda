package ringspindle.controlplane;

import java.util.List;
import ringspindle.config.NodeConfig;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.controlplane.server.ControlApiHandler;
import ringspindle.metering.UsageLedger;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.replication.ReplicatedState;
import ringspindle.transport.NodeEnvironment;

/**
 * Wires the parts of a control node and starts them.
 *
 * <p>Who owns which state, and what guards it:
 *
 * <ul>
 *   <li>{@link ReplicationDriver}: the replicated state and calls to it; a lock of its own.
 *   <li>{@link CounterDriver}: the replicated counters and calls to them; a lock of its own, under which no other is taken.
 *   <li>{@link FleetState}: sessions, facts, load, leases and reports; {@link FleetState#lock}.
 *   <li>{@link QuorumTracker} and {@link ServingState}: whether this node may serve; written by the tick, read without a lock.
 *   <li>{@link ControlNodeTasks}: the periodic work; one thread.
 * </ul>
 *
 * <p>The lock of the driver comes before that of the fleet: whoever holds the fleet's lock takes no other. Messages come
 * in through {@link MessageDispatcher}, calls from outside through {@link ControlApiHandler}.
 */
public final class ControlNode {
    /** Milliseconds between two ticks. */
    public static final int TICK_MS = 100;

    /** Set in the number of every store of counters, so that none is 0. */
    private static final long STORE_BIT = 1;

    private volatile NodeConfig config;
    private final Storage storage;
    private final NodeContext context;
    private final QuorumTracker quorum = new QuorumTracker();
    private final ServingState serving;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final CounterDriver counters;
    private final EngineRegistry engines;
    private final FleetQueries queries;
    private final QuotaHandler quotas;
    private final MessageDispatcher dispatcher;
    private final ControlNodeTasks tasks;
    private final UsageLedger usage = new UsageLedger();

    /**
     * Reads what the storage holds and opens nothing yet.
     *
     * @param reports asks engines what they still run, while a roll-out goes on
     * @param platform calls the platform, while this node has a duty there
     */
    public ControlNode(
            NodeConfig config,
            NodeEnvironment environment,
            Storage storage,
            EngineReportClient reports,
            PlatformClient platform)
            throws Exception {
        this.config = config;
        this.storage = storage;
        NodeId me = NodeId.of(config.ip() + ":" + config.innerPort());
        Hello self = greeting(me, config, environment.incarnation());
        PendingCalls calls = new PendingCalls(
                environment.clock(), environment.pool(), environment.random().getAsLong());
        context = new NodeContext(
                me, this::config, environment.clock(), environment.meshFactory().apply(self), environment.pool());
        serving = new ServingState(context.clock(), quorum);
        fleet = new FleetState(context, self);
        CommittedFacts committedFacts = new CommittedFacts(context.executor(), fleet, serving);
        List<Message> found = storage.replication().load();
        ReplicatedState state = replicatedState(me, environment, found);
        replication = new ReplicationDriver(context, state, calls, storage.replication(), quorum, committedFacts);
        counters = new CounterDriver(
                context, storage.counters(), environment.random().getAsLong() | STORE_BIT);
        engines = new EngineRegistry(fleet, serving, replication);
        queries = new FleetQueries(context, fleet, quorum);
        HeartbeatExchange heartbeats = new HeartbeatExchange(context, fleet, replication, serving);
        quotas = new QuotaHandler(context, replication, serving, config.bootstrap() && found.isEmpty());
        dispatcher = dispatcher(heartbeats);
        HeadDuties headDuties = new HeadDuties(
                new RolloutTask(me, fleet, engines, replication, reports),
                new ExperimentTask(context, environment.incarnation(), fleet, replication),
                new ShardTask(me, replication, storageNodes(), config.lossesBorne()),
                new MeteringTask(context, replication, serving, usage, platform),
                new VersionRolloutTask(me, fleet, replication));
        tasks = new ControlNodeTasks(
                context,
                storage,
                fleet,
                replication,
                counters,
                quorum,
                serving,
                heartbeats,
                committedFacts,
                headDuties);
    }

    private ReplicatedState replicatedState(NodeId me, NodeEnvironment environment, List<Message> found) {
        return ReplicatedState.create(
                me,
                seeds(config),
                config.bootstrap(),
                found,
                environment.random().getAsLong(),
                ReplicationDriver.votersWanted(config.lossesBorne()));
    }

    private MessageDispatcher dispatcher(HeartbeatExchange heartbeats) {
        return new MessageDispatcher(
                context,
                fleet,
                replication,
                counters,
                heartbeats,
                new FactHandler(fleet, serving),
                new LoadHandler(fleet),
                quotas,
                new UsageHandler(context, replication, usage));
    }

    private static Hello greeting(NodeId me, NodeConfig settings, long incarnation) {
        return new Hello(
                me,
                incarnation,
                NodeKind.CONTROL,
                settings.control().orElseThrow().bits(),
                settings.name(),
                settings.zone(),
                settings.region());
    }

    private static List<NodeId> seeds(NodeConfig settings) {
        return settings.seeds().stream()
                .map(seed -> seed.at(settings.innerPort()))
                .sorted()
                .toList();
    }

    /** Opens disk and mesh; whoever starts it calls {@link #tick} every {@link #TICK_MS}. */
    public void start() throws Exception {
        synchronized (fleet.lock) {
            fleet.facts().merge(storage.cachedEngines());
        }
        replication.open();
        counters.open();
        context.mesh().open(dispatcher);
    }

    /** Does the periodic work that is due; called by one thread at a time. */
    public void tick() {
        tasks.tick();
        quotas.tick();
    }

    /** Settings changed while running. */
    public void applySettings(NodeConfig changed) {
        config = changed;
        fleet.updateSettings(changed);
    }

    /** Says that this node leaves; {@link #handedOver} tells when it may end. */
    public void leave() {
        serving.leave();
        counters.leave();
    }

    /** True once the others go on without this node and hold all that is committed here. */
    public boolean handedOver() {
        ReplicationDriver.Status status = replication.status();
        return ShutdownHandover.done(context.self(), status.view(), status.sequence(), queries.peerStates());
    }

    /** What this node waits for before it serves. */
    public ServingState.Prerequisite missingPrerequisite() {
        long nowMs = context.nowMs();
        return serving.missingPrerequisite(replication.phase(nowMs), nowMs);
    }

    /** True while a first start still waits for voters. */
    public boolean bootstrapping() {
        return replication.bootstrapping(context.nowMs());
    }

    /** Steady time of this node, in ms. */
    public long nowMs() {
        return context.nowMs();
    }

    /** The settings in force. */
    public NodeConfig config() {
        return config;
    }

    /** This node's identity among nodes. */
    public NodeId nodeId() {
        return context.self();
    }

    /** Whether this node may serve. */
    public ServingState serving() {
        return serving;
    }

    /** The replicated state and calls to it. */
    public ReplicationDriver replication() {
        return replication;
    }

    /** The replicated counters and calls to them. */
    public CounterDriver counters() {
        return counters;
    }

    /** What this node knows of the fleet. */
    public FleetState fleet() {
        return fleet;
    }

    /** Engines that register here. */
    public EngineRegistry engines() {
        return engines;
    }

    /** Questions about storage nodes. */
    public StorageNodes storageNodes() {
        return new StorageNodes(context, fleet);
    }

    /** Questions about the fleet. */
    public FleetQueries queries() {
        return queries;
    }
}
