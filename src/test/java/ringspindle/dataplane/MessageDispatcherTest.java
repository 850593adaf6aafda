package ringspindle.dataplane;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.proxy.Proxy;
import ringspindle.transport.Mesh;

/** What a data node has taken in is put into force, though the first try of doing so fails. */
class MessageDispatcherTest {
    private static final NodeId ME = NodeId.of("10.1.0.20:7721");
    private static final Hello CONTROL = new Hello(NodeId.of("10.1.0.9:7720"), 1, NodeKind.CONTROL, 0, "c", "z", "r");

    private final List<Long> inForce = new ArrayList<>();
    private final List<String> evacuated = new ArrayList<>();
    private int failuresLeft;
    private boolean connected = true;
    private GossipState gossip;
    private MessageDispatcher dispatcher;
    private long heartbeats;

    @BeforeEach
    void create() {
        Properties settings = new Properties();
        settings.putAll(Map.of("node.name", "d", "node.ip", ME.ip(), "node.zone", "z", "node.region", "r"));
        settings.putAll(Map.of("listen.frontend", ME.ip() + ":80", "listen.inner", "7720,7735"));
        settings.putAll(Map.of("seeds", "10.1.0.9:1", "zone.z", "r"));
        NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
        gossip = new GossipState(ME, 0);
        Mesh mesh = standIn(
                Mesh.class, (self, method, arguments) -> method.getName().equals("connected") ? connected : null);
        Proxy proxy = standIn(Proxy.class, (self, method, arguments) -> called(method.getName(), arguments));
        LoadBalancer loadBalancer = standIn(LoadBalancer.class, (self, method, arguments) -> {
            if (method.getName().equals("setZoneEvacuated")) {
                evacuated.add((String) arguments[0]);
            }
            return null;
        });
        HeartbeatSender sender = new HeartbeatSender(() -> 0, mesh, gossip, proxy);
        PeerDialer dialer = new PeerDialer(ME, NodeKind.DATA, () -> config, mesh, gossip);
        dispatcher = new MessageDispatcher(
                () -> 0,
                mesh,
                gossip,
                sender,
                dialer,
                loadBalancer,
                proxy,
                new JobCaller(mesh, Runnable::run, () -> 0, 0));
        dispatcher.opened(CONTROL);
    }

    private static <T> T standIn(Class<T> type, InvocationHandler handler) {
        return type.cast(
                java.lang.reflect.Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }

    private Object called(String method, Object[] arguments) {
        if (method.equals("updateConfiguration")) {
            if (failuresLeft-- > 0) {
                throw new IllegalStateException("not now");
            }
            inForce.add(((FleetConfig) arguments[0]).revision());
        }
        return method.equals("isReady") ? false : null;
    }

    private static Fact configuration(long revision) {
        String json = "{\"revision\":" + revision + ",\"routes\":[],\"services\":[]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        return new Fact(FactKind.CONFIG, "", 0, revision, config.packed());
    }

    private static Fact evacuation(String zone) {
        return new Fact(FactKind.EVACUATED, zone, 0, 1, "on".getBytes(UTF_8));
    }

    private void receiveHeartbeat() {
        dispatcher.received(
                CONTROL.node(), new Heartbeat(++heartbeats, heartbeats, NodeFlags.READY, 0, 0, 0, List.of()));
    }

    @Test
    void configurationThatFailedOnceIsInForceWithTheNextMessage() {
        failuresLeft = 1;
        dispatcher.received(CONTROL.node(), new News(true, List.of(configuration(3))));
        receiveHeartbeat();
        receiveHeartbeat();
        assertEquals(List.of(3L), inForce);
    }

    @Test
    void factThatFailsDoesNotHoldUpTheOthers() {
        failuresLeft = 1;
        Fact broken = new Fact(FactKind.ROLLOUT, "r", 0, 1, "nonsense".getBytes(UTF_8));
        dispatcher.received(CONTROL.node(), new News(true, List.of(broken, configuration(3), evacuation("z"))));
        assertEquals(List.of("z"), evacuated);
    }

    @Test
    void failedFactGivesWayToANewerOne() {
        failuresLeft = 1;
        dispatcher.received(CONTROL.node(), new News(true, List.of(configuration(3))));
        dispatcher.received(CONTROL.node(), new News(true, List.of(configuration(4))));
        receiveHeartbeat();
        assertEquals(List.of(3L, 4L), inForce);
        failuresLeft = 1;
        dispatcher.received(CONTROL.node(), new News(false, List.of(configuration(5), configuration(6))));
        receiveHeartbeat();
        assertEquals(List.of(3L, 4L, 6L), inForce);
    }

    private boolean hasSession() {
        synchronized (gossip.lock) {
            return gossip.sessions().peer(CONTROL.node()) != null;
        }
    }

    @Test
    void lateWordOfAClosedConnectionLeavesTheSessionOfTheNextOneAlone() {
        dispatcher.opened(CONTROL);
        dispatcher.closed(CONTROL.node());
        assertTrue(hasSession(), "another connection stands");
        connected = false;
        dispatcher.closed(CONTROL.node());
        assertFalse(hasSession());
    }
}
