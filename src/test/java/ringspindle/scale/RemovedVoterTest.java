package ringspindle.scale;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.SimulatedControlNode;
import ringspindle.protocol.NodeId;

/** A voter that was cut off for so long that the others removed it from the view gets in touch again, whatever its address. */
@Timeout(60)
class RemovedVoterTest {
    private static final int NODES = 4;
    private static final int CUT_MS = 40_000;
    private static final int BACK_MS = 6000;

    private final SimulatedNetwork network = new SimulatedNetwork();
    private final List<SimulatedControlNode> nodes = new ArrayList<>();

    private static String ip(int node) {
        return "10.0.0." + (node + 1);
    }

    private static NodeId id(int node) {
        return NodeId.of(ip(node) + ":7000");
    }

    /** The last node, of the highest address, is none of the seeds. */
    private static NodeConfig settings(int node) {
        Properties settings = new Properties();
        settings.putAll(Map.of(
                "node.name", "c" + node,
                "node.ip", ip(node),
                "node.zone", "z" + node,
                "node.region", "r",
                "listen.inner", "7000",
                "listen.control", ip(node) + ":80",
                "seeds", "10.0.0.1:80,10.0.0.2:80,10.0.0.3:80",
                "loss.nodes", "1",
                "node.bootstrap", "true"));
        for (int other = 0; other < NODES; other++) {
            settings.setProperty("zone.z" + other, "r");
        }
        return ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
    }

    private void every(Runnable task, int everyMs) {
        network.at(everyMs, () -> {
            task.run();
            every(task, everyMs);
        });
    }

    @Test
    void isInTouchAgainSoonAfterTheCutHasHealed() throws Exception {
        for (int node = 0; node < NODES; node++) {
            SimulatedControlNode control = new SimulatedControlNode(settings(node), network.means(1), network::at);
            nodes.add(control);
            every(control::tick, SimulatedControlNode.tickMs());
        }
        SimulatedControlNode last = nodes.get(NODES - 1);
        network.runFor(10_000);
        assertTrue(last.isVoter(id(NODES - 1)), "it votes");
        network.cut(Set.of(id(NODES - 1)), CUT_MS);
        network.runFor(CUT_MS - 1000);
        assertFalse(nodes.get(0).isVoter(id(NODES - 1)), "removed meanwhile");
        assertFalse(last.majorityReachable());
        network.runFor(1000 + BACK_MS);
        assertTrue(last.majorityReachable());
        assertTrue(nodes.get(0).isVoter(id(NODES - 1)), "votes again");
    }
}
