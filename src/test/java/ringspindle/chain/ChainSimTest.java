package ringspindle.chain;

import static org.junit.jupiter.api.Assertions.*;

import java.util.*;
import org.junit.jupiter.api.*;
import org.junit.jupiter.params.*;
import org.junit.jupiter.params.provider.*;

/** Histories of the simulated core, checked after the fact. Seeds are fixed; a failure names its seed. */
class ChainSimTest {
    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void troublesLoseNothingThatWasAcknowledged(int size) {
        int acked = 0;
        for (long seed = 1; seed <= 60; seed++) {
            ChainSim sim = new ChainSim(seed, size);
            ChainSim.History h = sim.run(8, 40_000);
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
            ChainSim sim = new ChainSim(seed, size, 3, 2);
            ChainSim.History h = sim.run(7, 45_000);
            assertEquals(List.of(), h.problems(), () -> "seed and size " + sim.name() + sim.standing());
            assertTrue(h.readBack >= 0, "nothing could be read back, seed " + seed);
            assertEquals(Math.min(size, ChainMachine.VOTERS_MAX), sim.voters(), () -> "all vote in the end " + sim.name() + sim.standing());
            acked += h.acked.size();
        }
        assertTrue(acked > 40 * 12, "too little was acknowledged to show anything: " + acked);
    }

    /** A head that is told to end hands its place over first: orders go on being taken, and the view has let it go. */
    @Test
    void leavingHeadHandsOver() {
        for (int size : new int[] {3, 6}) {
            ChainSim sim = new ChainSim(11, size, 3, size == 3 ? 1 : 2);
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
        ChainSim sim = new ChainSim(3, 12, 3, 2);
        ChainSim.History h = sim.run(0, 25_000);
        assertEquals(List.of(), h.problems(), () -> sim.name() + sim.standing());
        assertEquals(ChainMachine.VOTERS_MAX, sim.voters());
        assertTrue(h.acked.size() > 10, "acknowledged " + h.acked.size());
    }

    @Test
    void quietCoreTakesEveryOrder() {
        ChainSim.History h = new ChainSim(7, 3).run(0, 20_000);
        assertEquals(List.of(), h.problems());
        assertTrue(h.acked.size() > 20, "acknowledged " + h.acked.size());
    }

    @Test
    void checkerSeesBrokenHistories() {
        ChainSim.History h = new ChainSim.History();
        h.acked.add(new ChainSim.History.Acked(5, 7, 0));
        h.acked.add(new ChainSim.History.Acked(5, 9, 1));
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
