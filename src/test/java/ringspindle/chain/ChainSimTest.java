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
        List<String> problems = h.problems();
        assertEquals(5, problems.size(), problems.toString());
    }
}
