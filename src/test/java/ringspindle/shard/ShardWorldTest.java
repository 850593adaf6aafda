package ringspindle.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ringspindle.shard.ShardWorld.Fault;

/** Histories of a shard over many seeds: what a leader has acknowledged stays, whatever is lost within what may be. */
class ShardWorldTest {
    private static final int SEEDS = 60;
    private static final int STEPS = 4000;

    private static ShardWorld play(long seed, Fault fault) {
        ShardWorld world = new ShardWorld(seed, fault);
        world.run(600, false);
        world.run(STEPS, true);
        if (seed % 3 == 0) {
            world.powerOff();
        }
        world.heal();
        return world;
    }

    @Test
    void whatWasAcknowledgedStays() {
        int acknowledged = 0;
        long epochs = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ShardWorld world = play(seed, Fault.NONE);
            assertEquals(Set.of(), world.violations(), "seed " + seed);
            acknowledged += world.acknowledged();
            epochs += world.epoch();
        }
        assertTrue(acknowledged > SEEDS * 200, "acknowledged " + acknowledged);
        assertTrue(epochs > SEEDS * 10, "epochs " + epochs);
    }

    /** The history shows each fault that is planted, within as many seeds. */
    @ParameterizedTest
    @EnumSource(value = Fault.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void plantedFaultsAreSeen(Fault fault) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            if (!play(seed, fault).violations().isEmpty()) {
                return;
            }
        }
        throw new AssertionError(fault + " is not seen");
    }
}
