package ringspindle.controlplane;

import java.util.List;
import ringspindle.config.NodeConfig;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.controlplane.server.ControlApiHandler;
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

    private volatile NodeConfig config;
    private final Storage storage;
    private final NodeContext context;
    private final QuorumTracker quorum = new QuorumTracker();
    private final ServingState serving;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final EngineRegistry engines;
    private final FleetQueries queries;
    private final MessageDispatcher dispatcher;
    private final ControlNodeTasks tasks;

    /**
     * Reads what the storage holds and opens nothing yet.
     *
     * @param reports asks engines what they still run, while a roll-out goes on
     */
    public ControlNode(NodeConfig config, NodeEnvironment environment, Storage storage, EngineReportClient reports)
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
        CommittedFacts committedFacts = new CommittedFacts(context.pool(), fleet, serving);
        ReplicatedState state = ReplicatedState.create(
                me,
                seeds(config),
                config.bootstrap(),
                storage.load(),
                environment.random().getAsLong(),
                ReplicationDriver.votersWanted(config.lossesBorne()));
        replication = new ReplicationDriver(context, state, calls, storage, quorum, committedFacts);
        engines = new EngineRegistry(fleet, serving, replication);
        queries = new FleetQueries(context, fleet, quorum);
        HeartbeatExchange heartbeats = new HeartbeatExchange(context, fleet, replication, serving);
        dispatcher = new MessageDispatcher(
                context, fleet, replication, heartbeats, new FactHandler(fleet, serving), new LoadHandler(fleet));
        HeadDuties headDuties = new HeadDuties(
                new RolloutTask(me, fleet, engines, replication, reports),
                new ExperimentTask(context, environment.incarnation(), fleet, replication));
        tasks = new ControlNodeTasks(
                context, storage, fleet, replication, quorum, serving, heartbeats, committedFacts, headDuties);
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
        context.mesh().open(dispatcher);
    }

    /** Does the periodic work that is due; called by one thread at a time. */
    public void tick() {
        tasks.tick();
    }

    /** Settings changed while running. */
    public void settings(NodeConfig changed) {
        config = changed;
        fleet.settings(changed);
    }

    /** Says that this node leaves; {@link #handedOver} tells when it may end. */
    public void leave() {
        serving.leave();
    }

    /** True once the others go on without this node and hold all that is committed here. */
    public boolean handedOver() {
        ReplicationDriver.Status status = replication.status();
        return ShutdownHandover.done(context.me(), status.view(), status.sequence(), queries.holders());
    }

    /** What this node waits for before it serves. */
    public ServingState.Awaited awaited() {
        long nowMs = context.nowMs();
        return serving.awaited(replication.phase(nowMs), nowMs);
    }

    /** True while a first start still waits for voters. */
    public boolean founding() {
        return replication.founding(context.nowMs());
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
    public NodeId me() {
        return context.me();
    }

    /** Whether this node may serve. */
    public ServingState serving() {
        return serving;
    }

    /** The replicated state and calls to it. */
    public ReplicationDriver replication() {
        return replication;
    }

    /** What this node knows of the fleet. */
    public FleetState fleet() {
        return fleet;
    }

    /** Engines that register here. */
    public EngineRegistry engines() {
        return engines;
    }

    /** Questions about the fleet. */
    public FleetQueries queries() {
        return queries;
    }
}
