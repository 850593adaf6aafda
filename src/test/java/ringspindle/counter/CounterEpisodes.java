package ringspindle.counter;

import java.util.Random;
import java.util.function.BiPredicate;

/** Histories of trouble, drawn from a seed: partitions of any shape, what happens inside them, and losses in calm. */
final class CounterEpisodes {
    private static final int EPISODES = 6;

    private CounterEpisodes() {}

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

    static CounterHistory history(long seed, CounterWorld.Planted planted) {
        CounterWorld world = new CounterWorld(seed, planted);
        for (int i = 0; i < EPISODES; i++) {
            episode(world, world.random);
        }
        world.run(12_000);
        return world.history;
    }
}
