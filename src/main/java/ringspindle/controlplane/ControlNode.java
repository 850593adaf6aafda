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
 * Creates the components of a control node and starts them.
 *
 * <p>State ownership and locking:
 *
 * <ul>
 *   <li>{@link ReplicationDriver}: the replicated state and calls to it; has its own lock.
 *   <li>{@link CounterDriver}: the replicated counters and calls to them; has its own lock and acquires no other while
 *       holding it.
 *   <li>{@link FleetState}: sessions, facts, load, leases and reports; guarded by {@link FleetState#lock}.
 *   <li>{@link QuorumTracker} and {@link ServingState}: whether this node may serve; written by the tick thread, read
 *       without a lock.
 *   <li>{@link ControlNodeTasks}: periodic work; confined to one thread.
 * </ul>
 *
 * <p>The lock of {@link ReplicationDriver} is acquired before the fleet lock; no other lock is acquired while the fleet
 * lock is held. Messages arrive through {@link MessageDispatcher}, API calls through {@link ControlApiHandler}.
 */
public final class ControlNode {
    /** Interval between ticks, in milliseconds. */
    public static final int TICK_MS = 100;

    /** Set in every counter store id so that none is 0. */
    private static final long NONZERO_STORE_ID_BIT = 1;

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
     * Loads the stored state; {@link #start} opens the storage and the mesh.
     *
     * @param reports asks engines for their active requests during a rollout
     * @param platform calls the platform while this node is responsible for reporting to it
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
        NodeId nodeId = NodeId.of(config.ip() + ":" + config.innerPort());
        Hello localHello = createHello(nodeId, config, environment.incarnation());
        PendingCalls pendingCalls = new PendingCalls(
                environment.clock(), environment.pool(), environment.random().getAsLong());
        context = new NodeContext(
                nodeId,
                this::config,
                environment.clock(),
                environment.meshFactory().apply(localHello),
                environment.pool());
        serving = new ServingState(context.clock(), quorum);
        fleet = new FleetState(context, localHello, environment.random().getAsLong());
        CommittedFactPublisher factPublisher = new CommittedFactPublisher(context.executor(), fleet, serving);
        List<Message> loadedRecords = storage.replication().load();
        ReplicatedState state = replicatedState(nodeId, environment, loadedRecords);
        replication = new ReplicationDriver(context, state, pendingCalls, storage.replication(), quorum, factPublisher);
        counters = new CounterDriver(
                context, storage.counters(), environment.random().getAsLong() | NONZERO_STORE_ID_BIT);
        engines = new EngineRegistry(fleet, serving, replication);
        queries = new FleetQueries(context, fleet, quorum);
        HeartbeatExchange heartbeats = new HeartbeatExchange(context, fleet, replication, serving);
        quotas = new QuotaHandler(context, replication, serving, config.bootstrap() && loadedRecords.isEmpty());
        dispatcher = dispatcher(heartbeats);
        HeadTasks headTasks = new HeadTasks(
                new RolloutTask(nodeId, fleet, engines, replication, reports),
                new ExperimentTask(context, environment.incarnation(), fleet, replication),
                new ShardTask(nodeId, replication, storageNodes(), config.lossesBorne()),
                new MeteringTask(context, replication, serving, usage, platform),
                new VersionRolloutTask(nodeId, fleet, replication));
        tasks = new ControlNodeTasks(
                context, storage, fleet, replication, counters, quorum, serving, heartbeats, factPublisher, headTasks);
    }

    private ReplicatedState replicatedState(NodeId nodeId, NodeEnvironment environment, List<Message> loadedRecords) {
        return ReplicatedState.create(
                nodeId,
                seeds(config),
                config.bootstrap(),
                loadedRecords,
                environment.random().getAsLong(),
                ReplicationDriver.requiredVoters(config.lossesBorne()));
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

    private static Hello createHello(NodeId nodeId, NodeConfig settings, long incarnation) {
        return new Hello(
                nodeId,
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

    /** Opens the storage and the mesh. The caller must then call {@link #tick} every {@link #TICK_MS}. */
    public void start() throws Exception {
        synchronized (fleet.lock) {
            fleet.facts().merge(storage.cachedEngines());
        }
        replication.open();
        counters.open();
        context.mesh().open(dispatcher);
    }

    /** Runs the periodic work that is due. Must be called by one thread at a time. */
    public void tick() {
        tasks.tick();
        quotas.tick();
    }

    /** Applies settings that were reloaded while the node is running. */
    public void applySettings(NodeConfig newSettings) {
        config = newSettings;
        fleet.updateSettings(newSettings);
    }

    /** Announces that this node is shutting down; {@link #handedOver} tells when it may stop. */
    public void leave() {
        serving.leave();
        counters.leave();
    }

    /** Returns true once the other nodes run without this node and hold everything that is committed here. */
    public boolean handedOver() {
        ReplicationDriver.Status status = replication.status();
        return ShutdownHandover.isComplete(context.self(), status.view(), status.sequence(), queries.peerStates());
    }

    /** Returns the first prerequisite for serving that this node does not meet. */
    public ServingState.Prerequisite missingPrerequisite() {
        long nowMs = context.nowMs();
        return serving.missingPrerequisite(replication.phase(nowMs), nowMs);
    }

    /** Returns true while the first start of a fleet is still waiting for voters. */
    public boolean bootstrapping() {
        return replication.bootstrapping(context.nowMs());
    }

    /** Returns the monotonic time of this node, in milliseconds. */
    public long nowMs() {
        return context.nowMs();
    }

    /** Returns the current settings. */
    public NodeConfig config() {
        return config;
    }

    /** Returns the identity of this node. */
    public NodeId nodeId() {
        return context.self();
    }

    /** Returns the component that determines whether this node may serve. */
    public ServingState serving() {
        return serving;
    }

    /** Returns the driver of the replicated state. */
    public ReplicationDriver replication() {
        return replication;
    }

    /** Returns the driver of the replicated counters. */
    public CounterDriver counters() {
        return counters;
    }

    /** Returns the state that this node has gathered about the fleet. */
    public FleetState fleet() {
        return fleet;
    }

    /** Returns the registry of the engines. */
    public EngineRegistry engines() {
        return engines;
    }

    /** Returns the queries about storage nodes. */
    public StorageNodes storageNodes() {
        return new StorageNodes(context, fleet);
    }

    /** Returns the queries about the fleet. */
    public FleetQueries queries() {
        return queries;
    }
}
