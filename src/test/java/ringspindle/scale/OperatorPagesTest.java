package ringspindle.scale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Properties;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ringspindle.api.Outcome;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.SimulatedControlNode;
import ringspindle.dataplane.HollowDataNode;
import ringspindle.protocol.Message.Engine;
import ringspindle.replication.CallKind;

/** The operators' JSON pages of a small fleet in virtual time, byte for byte: tools of others read them. */
class OperatorPagesTest {
    private static final int ENGINE_HEARTBEAT_MS = 1200;

    private final SimulatedNetwork network = new SimulatedNetwork();
    private SimulatedControlNode control;
    private HollowDataNode data;

    private static NodeConfig settings(String name, String ip, boolean isControl) {
        Properties properties = new Properties();
        properties.putAll(Map.of(
                "node.name", name,
                "node.ip", ip,
                "node.zone", "z0",
                "node.region", "r0",
                "zone.z0", "r0",
                "zone.z1", "r1",
                "listen.inner", "7000",
                "seeds", "10.0.0.1:80",
                "loss.nodes", "0",
                "node.bootstrap", "true"));
        properties.setProperty(isControl ? "listen.control" : "listen.frontend", ip + ":80");
        return ((Validated.Valid<NodeConfig>) NodeConfig.check(properties)).value();
    }

    private void every(int everyMs, Runnable task) {
        network.at(everyMs, () -> {
            task.run();
            every(everyMs, task);
        });
    }

    private void engine(String id, String address, String zone, String revision) {
        long[] sequence = {0};
        Engine engine = new Engine(32, 0, false, -1, 7, "s", address, zone, revision);
        every(ENGINE_HEARTBEAT_MS, () -> control.heartbeat(id, engine, ++sequence[0]));
    }

    private void call(CallKind kind, String argument, String body) {
        control.call(kind, argument, body.getBytes(UTF_8), outcome -> assertEquals(Outcome.TAKEN, outcome));
        network.runFor(100);
    }

    @BeforeEach
    void start() throws Exception {
        control = new SimulatedControlNode(settings("c0", "10.0.0.1", true), network.means(1), network::at);
        data = new HollowDataNode(settings("d0", "10.1.0.2", false), network.means(9));
        every(SimulatedControlNode.tickMs(), control::tick);
        every(HollowDataNode.tickMs(), () -> data.tick());
        network.runFor(1000);
    }

    private void fill() {
        engine("i-1", "10.2.0.1:80", "z0", "v1");
        engine("i-2", "10.2.0.2:80", "z1", "v2");
        network.runFor(1500);
        call(CallKind.PUT, "", "{\"revision\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"maxConnections\":9}]}");
        call(CallKind.RULES, "", "{\"revision\":1,\"default\":{\"class\":{\"waitMs\":9}}}");
        call(CallKind.EVACUATE, "z1", "");
        call(CallKind.DRAIN, "i-2", "");
        call(CallKind.ROLLOUT, "s", "{\"order\":\"start\",\"target\":8,\"floor\":0.9,\"from\":7}");
        network.runFor(4300);
    }

    @Test
    void aNewNodeShowsEmptyPages() {
        assertEquals(
                Map.of(
                        "status",
                        "{\"node\":\"c0\",\"quorate\":true,\"founding\":false,\"provenAgoMs\":0,"
                                + "\"awaited\":\"NOTHING\",\"view\":{\"epoch\":1,\"voters\":[\"10.0.0.1:7000\"],"
                                + "\"chain\":[\"10.0.0.1:7000\"]},"
                                + "\"duties\":{\"leases\":{\"holder\":\"10.0.0.1:7000\",\"epoch\":1}},\"seq\":0,"
                                + "\"revision\":0,\"evacuated\":[],\"sessions\":[{\"name\":\"d0\",\"kind\":\"data\","
                                + "\"node\":\"10.1.0.2:7001\",\"zone\":\"z0\",\"linked\":true,\"control\":\"\","
                                + "\"ready\":false}],\"holders\":[],\"nodes\":[{\"name\":\"d0\",\"zone\":\"z0\","
                                + "\"frontend\":\"10.1.0.2:80\",\"ready\":false,\"leaving\":false,"
                                + "\"via\":\"10.0.0.1:7000\"}]}",
                        "engines",
                        "{\"engines\":[]}",
                        "ledger",
                        "{\"node\":\"c0\",\"revision\":0,\"digest\":\"\",\"idle\":[],"
                                + "\"nodes\":[{\"node\":\"10.1.0.2:7001\",\"name\":\"d0\",\"zone\":\"z0\","
                                + "\"region\":\"r0\",\"life\":9,\"inTouch\":false}],\"ledgers\":[]}",
                        "rollouts",
                        "{\"rollouts\":[]}"),
                control.operatorPages());
    }

    @Test
    void aFilledFleetShowsItsState() {
        fill();
        assertEquals(
                Map.of(
                        "status",
                        "{\"node\":\"c0\",\"quorate\":true,\"founding\":false,\"provenAgoMs\":0,"
                                + "\"awaited\":\"NOTHING\",\"view\":{\"epoch\":1,\"voters\":[\"10.0.0.1:7000\"],"
                                + "\"chain\":[\"10.0.0.1:7000\"]},"
                                + "\"duties\":{\"leases\":{\"holder\":\"10.0.0.1:7000\",\"epoch\":1}},\"seq\":5,"
                                + "\"revision\":1,\"evacuated\":[\"z1\"],\"sessions\":[{\"name\":\"d0\","
                                + "\"kind\":\"data\",\"node\":\"10.1.0.2:7001\",\"zone\":\"z0\",\"linked\":true,"
                                + "\"control\":\"\",\"ready\":true}],\"holders\":[],\"nodes\":[{\"name\":\"d0\","
                                + "\"zone\":\"z0\",\"frontend\":\"10.1.0.2:80\",\"ready\":true,\"leaving\":false,"
                                + "\"via\":\"10.0.0.1:7000\"}]}",
                        "engines",
                        "{\"engines\":[{\"turn\":\"\",\"id\":\"i-1\",\"service\":\"s\","
                                + "\"address\":\"10.2.0.1:80\",\"zone\":\"z0\",\"region\":\"r0\",\"revision\":\"v1\","
                                + "\"weights\":7,\"state\":\"ready\",\"beatAgeMs\":100,\"callSeq\":1,\"running\":0,"
                                + "\"answered\":0,\"failed\":0},{\"turn\":\"\",\"id\":\"i-2\",\"service\":\"s\","
                                + "\"address\":\"10.2.0.2:80\",\"zone\":\"z1\",\"region\":\"r1\",\"revision\":\"v2\","
                                + "\"weights\":7,\"state\":\"draining\",\"beatAgeMs\":100,\"callSeq\":1,"
                                + "\"running\":0,\"answered\":0,\"failed\":0}]}",
                        "ledger",
                        "{\"node\":\"c0\",\"revision\":1,\"digest\":\"67c0b112063fc47b\",\"idle\":[],"
                                + "\"nodes\":[{\"node\":\"10.1.0.2:7001\",\"name\":\"d0\",\"zone\":\"z0\","
                                + "\"region\":\"r0\",\"life\":9,\"inTouch\":true}],"
                                + "\"ledgers\":[{\"node\":\"10.1.0.2:7001\",\"life\":9,\"seq\":3,\"revision\":1,"
                                + "\"digest\":\"67c0b112063fc47b\",\"broken\":[],\"rows\":[]}]}",
                        "rollouts",
                        "{\"rollouts\":[{\"service\":\"s\",\"target\":8,\"from\":7,\"atOnce\":1,"
                                + "\"floor\":0.9,\"patienceS\":120,\"state\":\"RUNNING\",\"cause\":\"\",\"epoch\":1,"
                                + "\"turn\":[],\"swapped\":[]}]}"),
                control.operatorPages());
    }
}
