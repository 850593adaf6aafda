package ringspindle.shard;

import java.util.HashMap;
import java.util.Map;

/**
 * Notices leaders that are in touch and do not lead: their disk hangs, they hold another disk than they were assigned with, or they
 * never heard of it. One that was replaced for that is given longer the next time, so that shards do not change hands for ever where
 * all are slow. Not thread safe; times are of one steady clock.
 */
final class LeaderWatch {
    /** A leader that has not said for so long that it leads is replaced. */
    private static final int PATIENCE_MS = 2500;

    private static final int PATIENCE_MAX_MS = 20_000;
    /** After a leader has led for so long without a break, the next one is given no longer than at first. */
    private static final int STEADY_MS = 10_000;

    /** What is known of one shard. */
    private static final class Watched {
        long epoch;
        boolean leads;
        /** Since when {@code leads} has been so. */
        long sinceMs;

        int patienceMs = PATIENCE_MS;

        Watched(long sinceMs) {
            this.sinceMs = sinceMs;
        }

        boolean isOverdue(long nowMs) {
            return !leads && nowMs - sinceMs > patienceMs;
        }
    }

    private final Map<Integer, Watched> shards = new HashMap<>();

    /**
     * Takes note of whether the leader of an assignment says that it leads. An assignment that follows one whose leader was overdue
     * replaces it: only then, and not with each look at it, the patience doubles, as the order for it may take its time or fail.
     *
     * @param leads it has said so of this very epoch
     */
    void observe(ShardAssignment assignment, boolean leads, long nowMs) {
        Watched watched = shards.computeIfAbsent(assignment.shard(), shard -> new Watched(nowMs));
        if (watched.epoch != assignment.epoch() && watched.isOverdue(nowMs)) {
            watched.patienceMs = Math.min(PATIENCE_MAX_MS, 2 * watched.patienceMs);
        }
        if (watched.epoch != assignment.epoch() || watched.leads != leads) {
            watched.epoch = assignment.epoch();
            watched.leads = leads;
            watched.sinceMs = nowMs;
        }
        if (leads && nowMs - watched.sinceMs > STEADY_MS) {
            watched.patienceMs = PATIENCE_MS;
        }
    }

    /** True if the leader of that epoch should have said by now that it leads. */
    boolean isOverdue(ShardAssignment assignment, long nowMs) {
        Watched watched = shards.get(assignment.shard());
        return watched != null && watched.epoch == assignment.epoch() && watched.isOverdue(nowMs);
    }
}
