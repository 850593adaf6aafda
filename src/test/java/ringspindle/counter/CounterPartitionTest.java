package ringspindle.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.CounterAdd;
import ringspindle.protocol.Message.CounterAdds;

/** Histories of counters through partitions, losses of disks inside them, restarts, freezes and stalled disks. */
class CounterPartitionTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void nothingIsLostOrCountedTwice(long seed) {
        CounterHistory history = CounterEpisodes.history(seed, CounterWorld.Planted.NOTHING);
        assertEquals(List.of(), history.violations());
        assertTrue(
                history.acknowledgements() > history.tries() / 2, () -> history.acknowledgements() + " acknowledged");
    }

    /** Of some histories with the fault at least one shows a violation of that kind. */
    private static void assertSeen(String kind, CounterWorld.Planted planted) {
        for (long seed = 1; seed <= 20; seed++) {
            if (CounterEpisodes.history(seed, planted).violations().stream()
                    .anyMatch(violation -> violation.startsWith(kind))) {
                return;
            }
        }
        throw new AssertionError("not seen: " + kind);
    }

    private static CounterWorld.Planted planted(
            int copies, boolean freshDiskTells, long retentionMs, UnaryOperator<Message> rewrite, boolean early) {
        return new CounterWorld.Planted(copies, freshDiskTells, retentionMs, rewrite, early);
    }

    @Test
    void acknowledgedBeforeTheCopiesIsSeen() {
        assertSeen("LOST", planted(1, false, CounterSettings.RETENTION_MS, UnaryOperator.identity(), false));
    }

    @Test
    void freshDiskThatTellsAtOnceIsSeen() {
        CounterWorld.Planted fault = planted(3, true, CounterSettings.RETENTION_MS, UnaryOperator.identity(), false);
        CounterWorld world = new CounterWorld(5, fault);
        world.run(8000);
        world.wipe(0, 100);
        world.run(150);
        assertTrue(world.joined(0), "the planted fault is not there");
        CounterWorld sound = new CounterWorld(5, CounterWorld.Planted.NOTHING);
        sound.run(8000);
        sound.wipe(0, 100);
        sound.run(150);
        assertFalse(sound.joined(0));
        sound.run(1500);
        assertTrue(sound.joined(0));
    }

    @Test
    void idsForgottenTooSoonAreSeen() {
        assertSeen("TWICE", planted(3, false, 300, UnaryOperator.identity(), false));
    }

    @Test
    void mergeBySumIsSeen() {
        UnaryOperator<Message> renamed = message -> message instanceof CounterAdds adds
                ? new CounterAdds(adds.items().stream()
                        .map(add -> new CounterAdd(
                                add.origin(), add.sequence(), add.counter(), add.instance() + "'", add.amount()))
                        .toList())
                : message;
        assertSeen("TWICE", planted(3, false, CounterSettings.RETENTION_MS, renamed, false));
    }

    @Test
    void answeredBeforeTheDiskIsSeen() {
        CounterWorld.Planted fault = planted(3, false, CounterSettings.RETENTION_MS, UnaryOperator.identity(), true);
        assertTrue(killedWhileDisksStall(fault).stream().anyMatch(violation -> violation.startsWith("LOST")));
        assertEquals(List.of(), killedWhileDisksStall(CounterWorld.Planted.NOTHING));
    }

    private static List<String> killedWhileDisksStall(CounterWorld.Planted planted) {
        CounterWorld world = new CounterWorld(9, planted);
        world.run(6000);
        for (int node = 0; node < CounterWorld.NODES; node++) {
            world.stallDisk(node, 2000);
        }
        world.run(1000);
        world.killAll(1500);
        world.run(12_000);
        return world.history.violations();
    }

    @Test
    void bothSidesOfALongPartitionCountAndConverge() {
        CounterWorld world = new CounterWorld(77, CounterWorld.Planted.NOTHING);
        world.run(5000);
        world.cut((from, to) -> CounterWorld.region(from) != CounterWorld.region(to));
        world.run(60_000);
        int inPartition = world.history.inPartitions();
        world.heal();
        world.run(10_000);
        assertEquals(List.of(), world.history.violations());
        assertTrue(inPartition > 1000, () -> inPartition + " acknowledged in the partition");
    }
}
