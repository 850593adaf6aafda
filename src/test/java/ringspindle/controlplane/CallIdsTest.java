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
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Reply;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.transport.Mesh;
import ringspindle.transport.NodeEnvironment;

/** A reply to a call of an earlier process meets no call of this one, though both drew the same life. */
class CallIdsTest {
    private static final NodeId HEAD = NodeId.of("10.0.0.1:7000");
    private static final NodeId THIRD = NodeId.of("10.0.0.3:7000");
    private static final long LIFE = 9;

    /** Keeps what is sent. */
    private static final class Sent implements Mesh {
        final List<Message> toHead = new ArrayList<>();
        Listener listener;

        @Override
        public void open(Listener newListener) {
            listener = newListener;
        }

        @Override
        public void dial(NodeId peer) {
            // both are there from the start
        }

        @Override
        public void send(NodeId peer, Message m) {
            if (peer.equals(HEAD)) {
                toHead.add(m);
            }
        }

        @Override
        public int pendingBytes(NodeId peer) {
            return 0;
        }

        @Override
        public boolean connected(NodeId peer) {
            return true;
        }

        @Override
        public void drop(NodeId peer) {
            // nobody is silent here
        }

        @Override
        public void close() {
            // nothing to close
        }
    }

    private final Sent mesh = new Sent();
    private final List<Outcome> outcomes = new ArrayList<>();
    private long nowMs = 1000;
    private SimulatedControlNode control;

    private void start(long chance) throws Exception {
        Properties p = new Properties();
        p.putAll(Map.of(
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
        NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(p)).value();
        control = new SimulatedControlNode(
                config,
                new NodeEnvironment(() -> nowMs, LIFE, () -> chance, Runnable::run, hello -> mesh),
                (inMs, r) -> {});
        for (NodeId n : List.of(HEAD, THIRD)) {
            mesh.listener.opened(new Hello(n, 1, 0, n.bits(), n.toString(), "z", "r"));
            // one heartbeat goes out when a connection opens
            mesh.listener.received(n, new Heartbeat(1, n.equals(HEAD) ? 1 : 2, NodeFlags.READY, 1, 0, 0, List.of()));
        }
        control.tick();
    }

    private long call() {
        mesh.toHead.clear();
        control.put(0, new byte[0], outcomes::add);
        return mesh.toHead.stream()
                .filter(m -> m instanceof Call)
                .map(m -> ((Call) m).id())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void callsAreNumberedFromChance() throws Exception {
        long chance = 0x7123456789abcdefL;
        start(chance);
        assertEquals(chance + 1, call());
        mesh.listener.received(HEAD, new Reply((LIFE << 20) + 1, Outcome.TAKEN.ordinal(), new byte[0]));
        mesh.listener.received(HEAD, new Reply(chance, Outcome.TAKEN.ordinal(), new byte[0]));
        assertEquals(List.of(), outcomes, "replies to calls of an earlier process");
        mesh.listener.received(HEAD, new Reply(chance + 1, Outcome.OTHER_VERSION.ordinal(), new byte[0]));
        assertEquals(List.of(Outcome.OTHER_VERSION), outcomes);
    }

    @Test
    void theNumbersMayRunOver() throws Exception {
        start(Long.MAX_VALUE);
        assertEquals(Long.MIN_VALUE, call());
        mesh.listener.received(HEAD, new Reply(Long.MIN_VALUE, Outcome.TAKEN.ordinal(), new byte[0]));
        assertEquals(List.of(Outcome.TAKEN), outcomes);
    }
}
