package ringspindle.dataplane;

import java.util.List;
import java.util.function.Function;
import ringspindle.config.NodeConfig;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.membership.DataNodeFact;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.proxy.Proxy;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;
import ringspindle.transport.NodeEnvironment;

/**
 * Wires what a data node, or a storage node, learns from others to its load balancer and proxy, and starts it.
 *
 * <p>There is one lock, that of {@link GossipState}. It guards sessions and facts there, the known control nodes of
 * {@link PeerDialer}, the numbers of {@link LoadReporter}, what {@link MessageDispatcher} remembers and the count of ticks
 * of {@link DataNodeTasks}. Load balancer and proxy guard their own state.
 */
public final class DataNode {
    /** Milliseconds between two ticks. */
    public static final int TICK_MS = 100;

    /** The ports of the programs of one machine, counted from its first inner port. */
    private static final int DATA_PORT_OFFSET = 1;

    private static final int STORAGE_PORT_OFFSET = 2;

    private final NodeId me;
    private volatile NodeConfig config;
    private final Mesh mesh;
    private final GossipState gossip;
    private final HeartbeatSender heartbeats;
    private final PeerDialer dialer;
    private final MessageDispatcher dispatcher;
    private final DataNodeTasks tasks;

    /**
     * Opens nothing yet.
     *
     * @param kind a data node or a storage node
     * @param component makes the part that is told of its own messages from the mesh
     */
    public DataNode(
            NodeConfig config,
            NodeKind kind,
            Proxy proxy,
            LoadBalancer loadBalancer,
            NodeEnvironment environment,
            Function<Mesh, NodeComponent> component) {
        this.config = config;
        MonotonicClock clock = environment.clock();
        me = identity(config, kind);
        mesh = environment.meshFactory().apply(greeting(me, kind, config, environment.incarnation()));
        NodeComponent part = component.apply(mesh);
        gossip = new GossipState(me, environment.random().getAsLong());
        heartbeats = new HeartbeatSender(clock, mesh, gossip, proxy);
        dialer = new PeerDialer(me, kind, this::config, mesh, gossip);
        dialer.addSeeds(config);
        dispatcher = new MessageDispatcher(clock, mesh, gossip, heartbeats, dialer, loadBalancer, proxy, part);
        LoadReporter reporter =
                new LoadReporter(environment.incarnation(), this::config, mesh, gossip, loadBalancer, proxy);
        tasks = new DataNodeTasks(clock, mesh, environment.pool(), gossip, heartbeats, dialer, reporter, proxy, part);
    }

    /** The inner address of a node of that kind; each program of a machine has a port of its own. */
    public static NodeId identity(NodeConfig settings, NodeKind kind) {
        int offset = kind == NodeKind.STORAGE ? STORAGE_PORT_OFFSET : DATA_PORT_OFFSET;
        return NodeId.of(settings.ip() + ":" + (settings.innerPort() + offset));
    }

    private static Hello greeting(NodeId me, NodeKind kind, NodeConfig settings, long incarnation) {
        return new Hello(
                me,
                incarnation,
                kind,
                settings.frontend().map(NodeId::bits).orElse(0L),
                settings.name(),
                settings.zone(),
                settings.region());
    }

    private NodeConfig config() {
        return config;
    }

    /** Opens the mesh; whoever starts it calls {@link #tick} every {@link #TICK_MS}. Throws if its port cannot be opened. */
    public void start() throws Exception {
        mesh.open(dispatcher);
    }

    /** Does the periodic work that is due. */
    public void tick() {
        tasks.tick();
    }

    /** Settings changed while running: new seeds are dialled as need be. */
    public void settings(NodeConfig changed) {
        synchronized (gossip.lock) {
            config = changed;
            dialer.addSeeds(changed);
        }
    }

    /** Tells all peers at once, and from now on with every tick, that this node leaves. */
    public void leave() {
        heartbeats.leave();
        announce();
    }

    /** Tells all peers at once how this node is. */
    void announce() {
        tick();
    }

    /** How many facts have been known for over a second and are not in force. */
    int overdueFacts() {
        return dispatcher.overdueFacts();
    }

    /** What this node's answers rest on, for log lines. */
    String describeKnowledge() {
        return dispatcher.describeKnowledge();
    }

    /** Who takes the requests of this region while this node leaves, as far as is known here. */
    RegionCoverage coverage() {
        synchronized (gossip.lock) {
            List<DataNodeFact> region = gossip.facts().all(FactKind.NODE).stream()
                    .map(fact -> DataNodeFact.of(fact.value()))
                    .filter(dataNode -> dataNode.hello().kind() == NodeKind.DATA)
                    .filter(dataNode -> dataNode.hello().region().equals(config.region()))
                    .toList();
            return RegionCoverage.of(me, region);
        }
    }
}
