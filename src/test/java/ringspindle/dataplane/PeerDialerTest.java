package ringspindle.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.transport.Mesh;

/** A data node among six zones of three regions ends up with sessions to control nodes of its own region. */
class PeerDialerTest {
    private static final List<String> REGIONS = List.of("a", "b", "c");
    private static final int ZONES = 6;
    private static final int TICK_MS = 200;
    private static final int PORT = 7720;
    private static final NodeId ME = NodeId.of("10.5.0.20:7721");
    private static final String MY_REGION = "b";

    /** Control nodes that answer heartbeats at once while they run; the first three are the seeds. */
    private final TreeMap<NodeId, Hello> controlNodes = new TreeMap<>();

    private final Set<NodeId> down = new TreeSet<>();
    private final Set<NodeId> connected = new TreeSet<>();
    private final GossipState gossip = new GossipState(ME, 0);
    private final PeerDialer dialer;
    private long nowMs = 1_000;
    private long heartbeats;

    PeerDialerTest() {
        for (int zone = 1; zone <= ZONES; zone++) {
            NodeId node = NodeId.of("10." + zone + ".0.9:" + PORT);
            String region = REGIONS.get((zone - 1) % REGIONS.size());
            controlNodes.put(node, new Hello(node, 1, NodeKind.CONTROL, 0, "c" + zone, "z" + zone, region));
        }
        Properties settings = new Properties();
        settings.putAll(Map.of("node.name", "d", "node.ip", ME.ip(), "node.zone", "z5", "node.region", MY_REGION));
        settings.putAll(Map.of("listen.frontend", ME.ip() + ":80", "listen.inner", PORT + ",7735"));
        settings.putAll(Map.of("seeds", "10.1.0.9:1,10.2.0.9:1,10.3.0.9:1", "zone.z5", MY_REGION));
        NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
        dialer = new PeerDialer(ME, NodeKind.DATA, () -> config, new InstantMesh(), gossip);
        dialer.addSeeds(config);
    }

    /** Connections come up at once, unless the peer is down. */
    private final class InstantMesh implements Mesh {
        @Override
        public void open(Listener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void dial(NodeId peer) {
            if (!down.contains(peer) && connected.add(peer)) {
                gossip.sessions().opened(controlNodes.get(peer), nowMs);
            }
        }

        @Override
        public void send(NodeId peer, Message message) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void send(NodeId peer, long life, Message message) {
            throw new UnsupportedOperationException();
        }

        @Override
        public int pendingBytes(NodeId peer) {
            return 0;
        }

        @Override
        public boolean connected(NodeId peer) {
            return connected.contains(peer);
        }

        @Override
        public void drop(NodeId peer) {
            connected.remove(peer);
            gossip.sessions().closed(peer);
        }

        @Override
        public void close() {
            connected.clear();
        }
    }

    private void runFor(long ms) {
        Mesh mesh = new InstantMesh();
        for (long endMs = nowMs + ms; nowMs < endMs; nowMs += TICK_MS) {
            synchronized (gossip.lock) {
                gossip.sessions().advance(nowMs);
                down.stream().filter(connected::contains).toList().forEach(mesh::drop);
                List.copyOf(connected).forEach(this::exchangeHeartbeats);
                dialer.dial(nowMs);
                dialer.surplus().ifPresent(mesh::drop);
            }
        }
    }

    /** As a control node does it: those near this data node are named first. */
    private void exchangeHeartbeats(NodeId control) {
        Heartbeat sent = gossip.sessions().nextHeartbeat(control, NodeFlags.NONE, 0, 0, 0, nowMs);
        SessionTable table = SessionTable.forControl(control, 0);
        controlNodes.forEach((node, hello) -> {
            if (!node.equals(control) && !down.contains(node)) {
                table.opened(hello, nowMs);
                long number = table.nextHeartbeat(node, NodeFlags.NONE, 0, 0, 0, nowMs)
                        .n();
                table.received(node, new Heartbeat(1, number, NodeFlags.NONE, 0, 0, 0, List.of()), nowMs);
            }
        });
        table.opened(new Hello(ME, 1, NodeKind.DATA, 0, "d", "z5", MY_REGION), nowMs);
        List<NodeId> named =
                table.nextHeartbeat(ME, NodeFlags.NONE, 0, 0, 0, nowMs).heard();
        NodeFlags flags = NodeFlags.READY.and(NodeFlags.QUORATE);
        gossip.sessions().received(control, new Heartbeat(++heartbeats, sent.n(), flags, 0, 0, 0, named), nowMs);
        dialer.learnControlNodes(named);
    }

    private List<String> regionsOfSessions() {
        List<String> regions = new ArrayList<>();
        connected.forEach(node -> regions.add(controlNodes.get(node).region()));
        return regions;
    }

    @Test
    void sessionsMoveToTheOwnRegion() {
        runFor(20_000);
        assertEquals(List.of(MY_REGION, MY_REGION), regionsOfSessions());
    }

    @ParameterizedTest
    @ValueSource(strings = {"10.2.0.9", "10.5.0.9"})
    void oneAbroadTakesThePlaceOfOneThatIsDownUntilItIsBack(String address) {
        runFor(20_000);
        down.add(NodeId.of(address + ":" + PORT));
        runFor(3_000);
        assertEquals(2, connected.size(), connected::toString);
        assertTrue(regionsOfSessions().contains(MY_REGION), connected::toString);
        down.clear();
        runFor(20_000);
        assertEquals(List.of(MY_REGION, MY_REGION), regionsOfSessions());
    }

    @Test
    void withoutItsRegionItHoldsTwoSessionsAbroad() {
        runFor(20_000);
        controlNodes.forEach((node, hello) -> {
            if (hello.region().equals(MY_REGION)) {
                down.add(node);
            }
        });
        runFor(3_000);
        assertEquals(2, connected.size(), connected::toString);
    }
}
