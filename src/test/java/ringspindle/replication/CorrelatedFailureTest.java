package ringspindle.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the largest failure that a deployment tolerates: the permitted number of disks is lost at the moment in
 * which every other node loses power. Covers each set of disks that may be lost, both at an acknowledgement and
 * during writes in progress. Acknowledged changes must be readable afterwards, and commands must be accepted again.
 */
class CorrelatedFailureTest {
    private static final int NODES = 6;
    private static final int SEED_NODES = 3;
    private static final int LOST_DISKS = 2;
    private static final long FAULT_MS = 9_000;
    private static final long END_MS = 15_000;
    /** Time after the return of all nodes in which a deployment of this size must accept commands again. */
    private static final long RECOVERY_LIMIT_MS = 5_000;

    private static List<Set<Integer>> diskPairs() {
        List<Set<Integer>> pairs = new ArrayList<>();
        for (int first = 0; first < NODES; first++) {
            for (int second = first + 1; second < NODES; second++) {
                pairs.add(Set.of(first, second));
            }
        }
        return pairs;
    }

    private static ChainSimulation simulation(long seed) {
        return new ChainSimulation(seed, NODES, SEED_NODES, LOST_DISKS);
    }

    private static void assertNothingLost(ChainSimulation simulation, Set<Integer> lostDisks, String when) {
        SimulationHistory history = simulation.run(0, END_MS);
        String description = simulation.name() + ", disks of " + lostDisks + " lost " + when;
        assertEquals(List.of(), history.problems(), () -> description + simulation.standing());
        assertTrue(history.readBack > 0, () -> description + simulation.standing());
        assertTrue(
                simulation.acknowledgedAfter(FAULT_MS + RECOVERY_LIMIT_MS) > 0,
                () -> description + ": nothing was acknowledged after recovery" + simulation.standing());
    }

    @Test
    void disksLostAtAnAcknowledgementWhileAllOthersLosePower() {
        long seed = 1;
        for (Set<Integer> lostDisks : diskPairs()) {
            ChainSimulation simulation = simulation(seed++);
            simulation.scriptOnAcknowledgement(FAULT_MS, () -> simulation.loseDisksAndPower(lostDisks));
            assertNothingLost(simulation, lostDisks, "at an acknowledgement");
        }
    }

    /** Two operators send commands continuously, so that each instant is another step of a write along the chain. */
    @ParameterizedTest
    @ValueSource(longs = {100, 200, 300})
    void disksLostAtAnyStepOfAWriteWhileAllOthersLosePower(long firstSeed) {
        long step = 0;
        for (Set<Integer> lostDisks : diskPairs()) {
            long atMs = FAULT_MS + step++ * 17;
            ChainSimulation simulation = simulation(firstSeed + step);
            simulation.script(atMs, () -> simulation.loseDisksAndPower(lostDisks));
            assertNothingLost(simulation, lostDisks, "at " + atMs);
        }
    }

    /** The chain is reconfigured without a member that lost power; the fault follows its next acknowledgement. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5})
    void disksLostRightAfterTheChainWasReconfigured(int poweredOff) {
        long seed = 500 + 20L * poweredOff;
        for (Set<Integer> lostDisks : diskPairs()) {
            ChainSimulation simulation = simulation(seed++);
            simulation.script(FAULT_MS - 700, () -> simulation.losePower(poweredOff, 400));
            simulation.scriptOnAcknowledgement(FAULT_MS - 400, () -> simulation.loseDisksAndPower(lostDisks));
            assertNothingLost(simulation, lostDisks, "after node " + poweredOff + " lost power");
        }
    }

    /** All nodes lose power again before they have recovered; the second time a pair of disks is lost as well. */
    @Test
    void powerLostAgainDuringRecovery() {
        long seed = 900;
        for (Set<Integer> lostDisks : diskPairs()) {
            ChainSimulation simulation = simulation(seed++);
            long secondMs = FAULT_MS + 400 + seed % 7 * 150;
            simulation.scriptOnAcknowledgement(FAULT_MS, () -> simulation.loseDisksAndPower(Set.of()));
            simulation.script(secondMs, () -> simulation.loseDisksAndPower(lostDisks));
            assertNothingLost(simulation, lostDisks, "during recovery");
        }
    }

    /** Verifies that the check can fail: with all disks lost, nothing can be read back. */
    @Test
    void lossOfAllDisksIsDetected() {
        ChainSimulation simulation = simulation(7);
        simulation.scriptOnAcknowledgement(FAULT_MS, () -> simulation.loseDisksAndPower(Set.of(0, 1, 2, 3, 4, 5)));
        SimulationHistory history = simulation.run(0, END_MS);
        assertFalse(history.problems().isEmpty());
    }
}
