package ringspindle.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import org.junit.jupiter.api.Test;
import ringspindle.api.Outcome;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Reply;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.transport.NodeEnvironment;
import ringspindle.transport.RecordingMesh;

/**
 * A reply to a call of an earlier process must not complete a call of the current one. This could happen if call ids
 * were derived from the incarnation, as two processes may have drawn the same one; ids therefore start at a random
 * number.
 */
class CallIdsTest {
    private static final NodeId HEAD = NodeId.of("10.0.0.1:7000");
    private static final NodeId THIRD = NodeId.of("10.0.0.3:7000");
    private static final long INCARNATION = 9;

    private final RecordingMesh mesh = new RecordingMesh();
    private final List<Outcome> outcomes = new ArrayList<>();
    private long nowMs = 1000;
    private SimulatedControlNode control;

    private void start(long startId) throws Exception {
        Properties properties = new Properties();
        properties.putAll(Map.of(
                "node.name",
                "c1",
                "node.ip",
                "10.0.0.2",
                "node.zone",
                "z",
                "node.region",
                "r",
                "zone.z",
                "r",
                "listen.inner",
                "7000",
                "listen.control",
                "10.0.0.2:80",
                "seeds",
                "10.0.0.1:80,10.0.0.2:80,10.0.0.3:80",
                "loss.nodes",
                "1",
                "node.bootstrap",
                "true"));
        NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(properties)).value();
        control = new SimulatedControlNode(
                config,
                new NodeEnvironment(() -> nowMs, INCARNATION, () -> startId, Runnable::run, hello -> mesh),
                (delayMs, task) -> {});
        for (NodeId node : List.of(HEAD, THIRD)) {
            mesh.listener().opened(new Hello(node, 1, 0, node.bits(), node.toString(), "z", "r"));
            // the node sends one heartbeat when a connection opens, which this echoes
            long number = mesh.sentTo(node, Heartbeat.class).get(0).n();
            mesh.listener().received(node, new Heartbeat(1, number, NodeFlags.READY, 1, 0, 0, List.of()));
        }
        control.tick();
    }

    private long call() {
        mesh.clear();
        control.put(0, new byte[0], outcomes::add);
        return mesh.sentTo(HEAD, Call.class).get(0).id();
    }

    @Test
    void callIdsStartAtTheRandomStartId() throws Exception {
        long startId = 0x7123456789abcdefL;
        start(startId);
        assertEquals(startId + 1, call());
        mesh.listener().received(HEAD, new Reply((INCARNATION << 20) + 1, Outcome.TAKEN.ordinal(), new byte[0]));
        mesh.listener().received(HEAD, new Reply(startId, Outcome.TAKEN.ordinal(), new byte[0]));
        assertEquals(List.of(), outcomes, "replies to calls of an earlier process");
        mesh.listener().received(HEAD, new Reply(startId + 1, Outcome.OTHER_VERSION.ordinal(), new byte[0]));
        assertEquals(List.of(Outcome.OTHER_VERSION), outcomes);
    }

    @Test
    void callIdsMayOverflow() throws Exception {
        start(Long.MAX_VALUE);
        assertEquals(Long.MIN_VALUE, call());
        mesh.listener().received(HEAD, new Reply(Long.MIN_VALUE, Outcome.TAKEN.ordinal(), new byte[0]));
        assertEquals(List.of(Outcome.TAKEN), outcomes);
    }
}
