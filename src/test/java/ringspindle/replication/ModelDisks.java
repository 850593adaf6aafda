package ringspindle.replication;

import java.util.HashMap;
import java.util.Map;

/** The disks of a {@link ModelWalk}; each syncs its writes in order, with delays drawn from the seed. */
final class ModelDisks {
    private static final int DISK_DELAY_MS = 8;

    private final ModelWalk walk;
    private final long seed;
    private final Map<Integer, ModelRandom> diskRandom = new HashMap<>();
    private final Map<Integer, Long> diskIdleAtMs = new HashMap<>();
    private final Map<Integer, Long> diskHangsUntilMs = new HashMap<>();

    ModelDisks(ModelWalk walk, long seed) {
        this.walk = walk;
        this.seed = seed;
    }

    /** Makes the disk sync nothing for the given time. */
    void hang(ModelNode node, long forMs) {
        diskHangsUntilMs.put(node.slot, walk.world.nowMs + forMs);
    }

    /** Resets the disk when its process ends, because the unsynced writes end with it. */
    void processEnded(ModelNode node) {
        diskIdleAtMs.remove(node.slot);
    }

    /** Schedules the sync of a write after a short delay, or for when the disk no longer hangs. */
    void scheduleSync(ModelNode node) {
        ModelRandom random = diskRandom.computeIfAbsent(node.slot, slot -> new ModelRandom(seed, slot + 2_000_000));
        long idleAtMs =
                Math.max(diskIdleAtMs.getOrDefault(node.slot, 0L), diskHangsUntilMs.getOrDefault(node.slot, 0L));
        long syncAtMs = Math.max(walk.world.nowMs, idleAtMs) + 1 + random.below(DISK_DELAY_MS);
        diskIdleAtMs.put(node.slot, syncAtMs);
        int life = node.life;
        walk.at(syncAtMs, () -> sync(node, life));
    }

    private void sync(ModelNode node, int life) {
        if (node.life != life || !node.up()) {
            return;
        }
        if (node.frozen) {
            // a frozen process learns of the sync only when it runs again
            walk.in(ModelWalk.TICK_MS, () -> sync(node, life));
            return;
        }
        if (!node.writes.isEmpty()) {
            walk.world.sync(node);
        }
    }
}
