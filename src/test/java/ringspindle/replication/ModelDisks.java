package ringspindle.replication;

import java.util.HashMap;
import java.util.Map;

/** The disks of a {@link ModelWalk}: each syncs one write after the other, with delays drawn from the seed. */
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

    /** The disk syncs nothing for that time. */
    void hang(ModelNode node, long forMs) {
        diskHangsUntilMs.put(node.slot, walk.world.nowMs + forMs);
    }

    /** The process ended, and its writes with it. */
    void processEnded(ModelNode node) {
        diskIdleAtMs.remove(node.slot);
    }

    /** Syncs the write a moment later, or once the disk no longer hangs. */
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
            // the process takes note when it runs again
            walk.in(ModelWalk.TICK_MS, () -> sync(node, life));
            return;
        }
        if (!node.writes.isEmpty()) {
            walk.world.sync(node);
        }
    }
}
