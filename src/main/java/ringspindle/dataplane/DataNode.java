package ringspindle.dataplane;

import java.util.List;
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
 * Wires what a data node learns from others to its load balancer and proxy, and starts it.
 *
 * <p>There is one lock, that of {@link GossipState}. It guards sessions and facts there, the known control nodes of
 * {@link PeerDialer}, the numbers of {@link LoadReporter}, what {@link MessageDispatcher} remembers and the count of ticks
 * of {@link DataNodeTasks}. Load balancer and proxy guard their own state.
 */
final class DataNode {
    /** Milliseconds between two ticks. */
    static final int TICK_MS = 100;

    private final NodeId me;
    private volatile NodeConfig config;
    private final Mesh mesh;
    private final GossipState gossip;
    private final HeartbeatSender heartbeats;
    private final PeerDialer dialer;
    private final MessageDispatcher dispatcher;
    private final DataNodeTasks tasks;

    /** Opens nothing yet. */
    DataNode(NodeConfig config, Proxy proxy, LoadBalancer loadBalancer, NodeEnvironment environment) {
        this.config = config;
        MonotonicClock clock = environment.clock();
        // a data node talks at the second inner port, so that both programs fit on one machine
        me = NodeId.of(config.ip() + ":" + (config.innerPort() + 1));
        mesh = environment.meshFactory().apply(greeting(me, config, environment.incarnation()));
        gossip = new GossipState(me);
        heartbeats = new HeartbeatSender(clock, mesh, gossip, proxy);
        dialer = new PeerDialer(me, this::config, mesh, gossip);
        dialer.addSeeds(config);
        dispatcher = new MessageDispatcher(clock, mesh, gossip, heartbeats, dialer, loadBalancer, proxy);
        LoadReporter reporter =
                new LoadReporter(environment.incarnation(), this::config, mesh, gossip, loadBalancer, proxy);
        tasks = new DataNodeTasks(clock, mesh, environment.pool(), gossip, heartbeats, dialer, reporter, proxy);
    }

    private static Hello greeting(NodeId me, NodeConfig settings, long incarnation) {
        return new Hello(
                me,
                incarnation,
                NodeKind.DATA,
                settings.frontend().orElseThrow().bits(),
                settings.name(),
                settings.zone(),
                settings.region());
    }

    private NodeConfig config() {
        return config;
    }

    /** Opens the mesh; whoever starts it calls {@link #tick} every {@link #TICK_MS}. */
    void start() throws Exception {
        mesh.open(dispatcher);
    }

    /** Does the periodic work that is due. */
    void tick() {
        tasks.tick();
    }

    /** Settings changed while running: new seeds are dialled as need be. */
    void settings(NodeConfig changed) {
        synchronized (gossip.lock) {
            config = changed;
            dialer.addSeeds(changed);
        }
    }

    /** Tells all peers at once, and from now on with every tick, that this node leaves. */
    void leave() {
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
                    .filter(dataNode -> dataNode.hello().region().equals(config.region()))
                    .toList();
            return RegionCoverage.of(me, region);
        }
    }
}
