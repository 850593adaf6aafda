package ringspindle.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.consensus.ViewConsensus;

/** Histories of the simulated core, checked after the fact. Seeds are fixed; a failure names its seed. */
class ChainSimulationTest {
    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void troublesLoseNothingThatWasAcknowledged(int size) {
        int acked = 0;
        for (long seed = 1; seed <= 60; seed++) {
            ChainSimulation sim = new ChainSimulation(seed, size);
            SimulationHistory h = sim.run(8, 40_000);
            assertEquals(List.of(), h.problems(), () -> "seed and size " + sim.name() + sim.standing());
            assertTrue(h.readBack >= 0, "nothing could be read back, seed " + seed);
            acked += h.acked.size();
        }
        assertTrue(acked > 60 * 20, "too little was acknowledged to show anything: " + acked);
    }

    /** Grown cores: three seeds, the others find their way in; two may lose their disks at once. */
    @ParameterizedTest
    @ValueSource(ints = {5, 6, 9})
    void joinersVoteAndTwoLostDisksLoseNothing(int size) {
        int acked = 0;
        for (long seed = 1; seed <= 40; seed++) {
            ChainSimulation sim = new ChainSimulation(seed, size, 3, 2);
            SimulationHistory h = sim.run(7, 45_000);
            assertEquals(List.of(), h.problems(), () -> "seed and size " + sim.name() + sim.standing());
            assertTrue(h.readBack >= 0, "nothing could be read back, seed " + seed);
            assertEquals(
                    Math.min(size, ViewConsensus.MAX_VOTERS),
                    sim.voters(),
                    () -> "all vote in the end " + sim.name() + sim.standing());
            acked += h.acked.size();
        }
        assertTrue(acked > 40 * 12, "too little was acknowledged to show anything: " + acked);
    }

    /** A second loss right after a replacement: of the voters of the deployment a majority is left, whoever is lost. */
    @ParameterizedTest
    @CsvSource({"3,1,true", "3,1,false", "6,2,true", "6,2,false"})
    void lossRightAfterAReplacementLeavesAMajority(int size, int lost, boolean planned) {
        for (long seed = 1; seed <= 2L * size; seed++) {
            ChainSimulation sim = new ChainSimulation(seed, size, 3, lost);
            int first = (int) (seed / 2 % size);
            int second = (int) (seed % size);
            // the replacement has had the time to catch up, four seconds from its start, and no more
            sim.script(9_000, () -> replace(sim, planned, first));
            sim.script(
                    planned ? 14_000 : 14_100,
                    () -> sim.loseDisksAndPower(lost == 1 ? Set.of(second) : Set.of(second, (second + 1) % size)));
            SimulationHistory h = sim.run(0, 22_000);
            assertEquals(List.of(), h.problems(), () -> sim.name() + sim.standing());
            assertTrue(
                    sim.acknowledgedAfter(17_500) > 0,
                    () -> "nothing is acknowledged after the second loss " + sim.name() + sim.standing());
            assertEquals(sim.running(), sim.votersOfNewest().stream().sorted().toList(), sim::name);
        }
    }

    private static void replace(ChainSimulation sim, boolean planned, int index) {
        if (planned) {
            sim.replacePlanned(index);
        } else {
            sim.replaceLost(index);
        }
    }

    /** All nodes of a deployment replaced one after the other, half of them without notice, and a lost disk behind it. */
    @ParameterizedTest
    @CsvSource({"3,1", "6,2"})
    void everyNodeReplacedInTurn(int size, int lost) {
        for (long seed = 1; seed <= 4; seed++) {
            ChainSimulation sim = new ChainSimulation(seed, size, 3, lost);
            for (int i = 0; i < size; i++) {
                boolean planned = (seed + i) % 2 == 0;
                sim.script(9_000 + i * 7_500L, () -> replace(sim, planned, 0));
            }
            long lastMs = 9_000 + size * 7_500L;
            sim.script(lastMs, () -> sim.loseDisk(0, 2500));
            SimulationHistory h = sim.run(0, lastMs + 8_000);
            assertEquals(List.of(), h.problems(), () -> sim.name() + sim.standing());
            assertTrue(sim.acknowledgedAfter(lastMs + 4_000) > 0, () -> sim.name() + sim.standing());
            assertEquals(sim.running(), sim.votersOfNewest().stream().sorted().toList(), sim::name);
        }
    }

    /** A node that wakes after its seat was given away acts in no old view; it joins again, whatever it was before. */
    @ParameterizedTest
    @CsvSource({"3,1", "6,2"})
    void nodeThatWakesAfterItsSeatWasGivenAwayJoinsAgain(int size, int lost) {
        for (long seed = 1; seed <= size; seed++) {
            ChainSimulation sim = new ChainSimulation(seed, size, 3, lost);
            int frozen = (int) (seed % size);
            sim.script(9_000, () -> sim.freezeAndJoin(frozen, 8_000));
            sim.script(15_000, () -> sim.checkVoters(size));
            SimulationHistory h = sim.run(0, 24_000);
            assertEquals(List.of(), h.problems(), () -> sim.name() + sim.standing());
            assertTrue(sim.acknowledgedAfter(15_000) > 0, sim::name);
            assertEquals(sim.running(), sim.votersOfNewest().stream().sorted().toList(), sim::name);
        }
    }

    /** A head that is told to end hands its place over first: orders go on being taken, and the view has let it go. */
    @Test
    void leavingHeadHandsOver() {
        for (int size : new int[] {3, 6}) {
            ChainSimulation sim = new ChainSimulation(11, size, 3, size == 3 ? 1 : 2);
            sim.run(0, 4000);
            long before = sim.epoch();
            sim.leaveHead();
            sim.goOn(800);
            assertEquals(before + 1, sim.epoch(), "one view on");
            assertFalse(sim.headLeaves());
        }
    }

    /** Beyond nine the others learn and pass calls on. */
    @Test
    void learnersPassCallsOn() {
        ChainSimulation sim = new ChainSimulation(3, 12, 3, 2);
        SimulationHistory h = sim.run(0, 25_000);
        assertEquals(List.of(), h.problems(), () -> sim.name() + sim.standing());
        assertEquals(ViewConsensus.MAX_VOTERS, sim.voters());
        assertTrue(h.acked.size() > 10, "acknowledged " + h.acked.size());
    }

    /** With all seats taken a node that only learns takes the one of a voter that is gone. */
    @Test
    void learnerTakesTheSeatOfALostVoter() {
        ChainSimulation sim = new ChainSimulation(5, ViewConsensus.MAX_VOTERS + 1, 3, 2);
        sim.script(20_000, () -> {
            sim.checkVoters(ViewConsensus.MAX_VOTERS);
            sim.loseForGood(sim.votersOfNewest().get(1));
        });
        SimulationHistory h = sim.run(0, 26_000);
        assertEquals(List.of(), h.problems(), () -> sim.name() + sim.standing());
        assertEquals(sim.running(), sim.votersOfNewest().stream().sorted().toList(), sim::standing);
    }

    @Test
    void quietCoreTakesEveryOrder() {
        SimulationHistory h = new ChainSimulation(7, 3).run(0, 20_000);
        assertEquals(List.of(), h.problems());
        assertTrue(h.acked.size() > 20, "acknowledged " + h.acked.size());
    }

    @Test
    void checkerSeesBrokenHistories() {
        SimulationHistory h = new SimulationHistory();
        h.acked.add(new SimulationHistory.Acked(5, 7, 0));
        h.acked.add(new SimulationHistory.Acked(5, 9, 1));
        h.readBack = 7;
        h.readBody = "a";
        h.sent.put(7L, "b");
        h.evacuations.put("z", "on");
        h.leaving.add("i-1");
        h.rules = 3;
        List<String> problems = h.problems();
        assertEquals(6, problems.size(), problems.toString());
    }
}
