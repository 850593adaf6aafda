package ringspindle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.protocol.NodeId;

/**
 * Whatever came before, once links stand every node is in touch with a majority, votes, and has the newest configuration,
 * within the times of {@link PeeringWorld}. Many more seeds are played by hand: {@code ReconnectionTest FIRST SEEDS}.
 */
@Timeout(300)
class ReconnectionTest {
    private static final int SEEDS = 4;
    private static final int DATA_NODES = 3;
    private static final int PLANTED_SEEDS = 40;

    private static List<String> play(long seed, int controlNodes, SimulatedNetwork.Interference fault) {
        PeeringWorld world = new PeeringWorld(seed, controlNodes, DATA_NODES);
        world.network.interfere(fault);
        world.disturb();
        List<String> broken = world.broken();
        if (!broken.isEmpty()) {
            broken.add("seed " + seed + ", " + controlNodes + " control nodes: " + world.faults());
        }
        return broken;
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5, 6, 7, 8, 9})
    void allNodesMeetAgainOnceLinksStand(int controlNodes) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertEquals(List.of(), play(seed, controlNodes, new SimulatedNetwork.Interference() {}));
        }
    }

    /** Plays seeds until the planted fault shows. */
    private static void assertIsFound(SimulatedNetwork.Interference fault) {
        boolean found = false;
        for (long seed = 1; seed <= PLANTED_SEEDS && !found; seed++) {
            found = !play(seed, 4, fault).isEmpty();
        }
        assertTrue(found, "the planted fault does not show");
    }

    @Test
    void aVoterThatOnlyWaitsToBeDialledIsFound() {
        assertIsFound(new SimulatedNetwork.Interference() {
            @Override
            public boolean swallowsDial(NodeId from, NodeId to) {
                return from.port() == to.port() && from.compareTo(to) > 0;
            }
        });
    }

    @Test
    void anAddressThatIsNeverDialledAgainIsFound() {
        assertIsFound(new SimulatedNetwork.Interference() {
            private final Set<String> dialled = new HashSet<>();

            @Override
            public boolean swallowsDial(NodeId from, NodeId to) {
                return !dialled.add(from + " " + to);
            }
        });
    }

    @Test
    void connectionsThatBothEndsCloseAreFound() {
        assertIsFound(new SimulatedNetwork.Interference() {
            @Override
            public boolean closesCrossed() {
                return true;
            }
        });
    }

    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        int failed = 0;
        for (long seed = first; seed < first + Long.parseLong(arguments[1]); seed++) {
            int controlNodes = 3 + (int) (seed % 7);
            List<String> broken = play(seed, controlNodes, new SimulatedNetwork.Interference() {});
            failed += broken.isEmpty() ? 0 : 1;
            broken.forEach(System.out::println);
        }
        System.out.println(arguments[1] + " seeds, " + failed + " broken");
    }
}
