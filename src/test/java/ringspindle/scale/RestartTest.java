package ringspindle.scale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Map;
import java.util.Properties;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.SimulatedControlNode;
import ringspindle.dataplane.HollowDataNode;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.loadbalancing.SelectionRequests;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.NodeId;
import ringspindle.telemetry.EngineKey;

/** A data node that restarts under a clock that went back is counted soon, though its life has a lower number. */
class RestartTest {
    private static final int ENGINE_BEAT_MS = 1200;
    private static final String ENGINE = "i-1";
    private static final NodeId DATA = NodeId.of("10.1.0.2:7001");

    private final SimulatedNetwork net = new SimulatedNetwork();
    private SimulatedControlNode control;
    private HollowDataNode data;

    private static NodeConfig settings(String name, String ip, boolean isControl) {
        Properties p = new Properties();
        p.putAll(Map.of(
                "node.name",
                name,
                "node.ip",
                ip,
                "node.zone",
                "z",
                "node.region",
                "r",
                "zone.z",
                "r",
                "listen.inner",
                "7000",
                "seeds",
                "10.0.0.1:80",
                "loss.nodes",
                "0",
                "node.bootstrap",
                "true"));
        p.setProperty(isControl ? "listen.control" : "listen.frontend", ip + ":80");
        return ((Validated.Valid<NodeConfig>) NodeConfig.check(p)).value();
    }

    private void every(int everyMs, Runnable r) {
        net.at(everyMs, () -> {
            r.run();
            every(everyMs, r);
        });
    }

    /** One request runs on, from now. */
    private void request() {
        LoadBalancer.SelectionRequest ask = SelectionRequests.of("s")
                .prompt(0, 92, 291)
                .output(40)
                .random(1)
                .build();
        LoadBalancer.SelectedEngine chosen = assertInstanceOf(
                LoadBalancer.SelectedEngine.class, data.loadBalancer().select(ask, net.nowMs()));
        data.loadBalancer().onRequestSent(chosen.id(), net.nowMs());
    }

    private int running() {
        return control.totalLoad().counts(EngineKey.of(ENGINE)).running();
    }

    @Test
    void itsReportsCountAsSoonAsItsSessionStands() throws Exception {
        control = new SimulatedControlNode(settings("c", "10.0.0.1", true), net.means(1), net::at);
        data = new HollowDataNode(settings("d", "10.1.0.2", false), net.means(9));
        every(SimulatedControlNode.tickMs(), control::tick);
        every(HollowDataNode.tickMs(), () -> data.tick());
        long[] seq = {0};
        every(
                ENGINE_BEAT_MS,
                () -> control.heartbeat(
                        ENGINE, new Engine(32, 0, false, -1, 1, "s", "10.2.0.1:80", "z", "v"), ++seq[0]));
        net.runFor(2000);
        control.put(
                0,
                "{\"revision\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"maxConnections\":9}]}".getBytes(UTF_8),
                o -> {});
        net.runFor(4000);
        request();
        request();
        net.runFor(2000);
        assertEquals(2, running());

        data = new HollowDataNode(settings("d", "10.1.0.2", false), net.means(5));
        net.runFor(8000);
        request();
        net.runFor(2000);
        assertEquals(1, running(), "of its new life");
        assertEquals(Set.of(DATA), control.reportedRevisions().keySet());
    }
}
