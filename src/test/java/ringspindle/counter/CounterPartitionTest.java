package ringspindle.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.CounterAdd;
import ringspindle.protocol.Message.CounterAdds;

/** Histories of counters through partitions, losses of disks inside them, restarts, freezes and stalled disks. */
class CounterPartitionTest {
    private static final int EPISODES = 6;

    private static BiPredicate<Integer, Integer> someCut(Random random) {
        int node = random.nextInt(CounterWorld.NODES);
        int region = random.nextInt(3);
        return switch (random.nextInt(6)) {
            case 0 -> (from, to) -> (CounterWorld.region(from) == region) != (CounterWorld.region(to) == region);
            case 1 -> (from, to) -> (from == node) != (to == node);
            case 2 -> (from, to) -> CounterWorld.region(from) != CounterWorld.region(to);
            case 3 -> (from, to) -> from == node;
            case 4 ->
                (from, to) -> CounterWorld.region(from) == region && CounterWorld.region(to) == (region + 1) % 3
                        || CounterWorld.region(to) == region && CounterWorld.region(from) == (region + 1) % 3;
            default -> (from, to) -> from < 3 != to < 3;
        };
    }

    /** What happens to a single node, in a partition or in calm. */
    private static void hitOne(CounterWorld world, Random random) {
        int node = random.nextInt(CounterWorld.NODES);
        switch (random.nextInt(5)) {
            case 0 -> world.kill(node, 300 + random.nextInt(4000));
            case 1 -> world.freeze(node, 500 + random.nextInt(4000));
            case 2 -> world.stallDisk(node, 500 + random.nextInt(3000));
            case 3 -> world.wipe(node, 300 + random.nextInt(3000));
            default -> world.kill(node, 50);
        }
    }

    private static void episode(CounterWorld world, Random random) {
        world.run(7000 + random.nextInt(3000));
        switch (random.nextInt(6)) {
            case 2 -> world.wipeAfterNextAcknowledgement();
            case 0 -> {
                int first = random.nextInt(CounterWorld.NODES);
                world.wipe(first, 500 + random.nextInt(2000));
                world.wipe((first + 1 + random.nextInt(5)) % CounterWorld.NODES, 500 + random.nextInt(2000));
            }
            case 1 -> {
                world.killAll(200 + random.nextInt(1000));
            }
            default -> {
                world.cut(someCut(random));
                world.run(1 + random.nextInt(9000));
                hitOne(world, random);
                world.run(1 + random.nextInt(9000));
                if (random.nextBoolean()) {
                    world.cut(someCut(random));
                    world.run(1 + random.nextInt(5000));
                }
                world.heal();
            }
        }
    }

    private static CounterHistory history(long seed, CounterWorld.Planted planted) {
        CounterWorld world = new CounterWorld(seed, planted);
        for (int i = 0; i < EPISODES; i++) {
            episode(world, world.random);
        }
        world.run(12_000);
        return world.history;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void nothingIsLostOrCountedTwice(long seed) {
        CounterHistory history = history(seed, CounterWorld.Planted.NOTHING);
        assertEquals(List.of(), history.violations());
        assertTrue(
                history.acknowledgements() > history.tries() / 2, () -> history.acknowledgements() + " acknowledged");
    }

    /** Of some histories with the fault at least one shows a violation of that kind. */
    private static void assertSeen(String kind, CounterWorld.Planted planted) {
        for (long seed = 1; seed <= 20; seed++) {
            if (history(seed, planted).violations().stream().anyMatch(violation -> violation.startsWith(kind))) {
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
