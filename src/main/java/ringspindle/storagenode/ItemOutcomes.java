package ringspindle.storagenode;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import ringspindle.batch.JobItem;
import ringspindle.batch.RunQueue.ItemKey;
import ringspindle.config.FleetConfig;
import ringspindle.protocol.BatchMessage.ItemEnd;
import ringspindle.protocol.ItemOutcome;
import ringspindle.shard.ReplicaOutput;

/**
 * What the leader of a shard makes of the end of a run: a result at a position, a failure that counts, or another run after a pause.
 * An item is given up after an engine said that it can never be done, after as many failures as its route allows, after the time that
 * it may wait, or when its route is gone; for nothing else. Confined to the lock of {@link ShardHost}.
 */
final class ItemOutcomes {
    /** An item that broke off, or failed, is run again after so long, times the failures. */
    private static final int AGAIN_MS = 150;
    /** An item without a route is given up after that has been so for this long. */
    private static final int ROUTE_MISSING_MS = 3000;
    /** An item is given up so long after it may be. */
    private static final int EXPIRY_MARGIN_MS = 1000;

    private static final int DEFAULT_ATTEMPTS_MAX = 3;
    private static final byte[] NO_TEXT = {};

    private final ItemDispatcher dispatcher;
    /** Gives the configuration in force, null while none is known. */
    private final Supplier<FleetConfig> configuration;

    ItemOutcomes(ItemDispatcher dispatcher, Supplier<FleetConfig> configuration) {
        this.dispatcher = dispatcher;
        this.configuration = configuration;
    }

    /** A run of an item has ended. */
    List<ReplicaOutput> ended(HostedShard shard, ItemDispatcher.Run run, ItemEnd end, long nowMs) {
        ItemKey key = run.key();
        ItemOutcome outcome = end.outcome();
        if (outcome != ItemOutcome.NO_ROUTE) {
            shard.queue().routeFound(key);
        }
        return switch (outcome) {
            case COMPLETED -> {
                dispatcher.completed(run, nowMs);
                yield shard.list(key, JobItem.State.COMPLETED, end.text(), nowMs);
            }
            case IMPOSSIBLE -> giveUp(shard, key, nowMs);
            case FAILED -> failed(shard, key, nowMs);
            case NO_ROUTE -> routeMissing(shard, key, nowMs);
            case NO_CAPACITY -> {
                dispatcher.pause(run.executor(), nowMs);
                shard.queue().again(key, nowMs);
                yield List.of();
            }
            case BROKEN, UNKNOWN -> {
                shard.queue().again(key, nowMs + AGAIN_MS);
                yield List.of();
            }
        };
    }

    private static List<ReplicaOutput> giveUp(HostedShard shard, ItemKey key, long nowMs) {
        return shard.list(key, JobItem.State.DEAD_LETTER, NO_TEXT, nowMs);
    }

    private static List<ReplicaOutput> routeMissing(HostedShard shard, ItemKey key, long nowMs) {
        if (shard.queue().routeMissing(key, nowMs) > ROUTE_MISSING_MS) {
            return giveUp(shard, key, nowMs);
        }
        shard.queue().again(key, nowMs + 2 * AGAIN_MS);
        return List.of();
    }

    private List<ReplicaOutput> failed(HostedShard shard, ItemKey key, long nowMs) {
        JobItem item = shard.jobs().job(key.job()).items().get(key.item());
        int failures = item.failures() + 1;
        List<ReplicaOutput> out = new ArrayList<>(shard.failed(key, nowMs));
        if (failures >= attemptsMax(shard, key)) {
            out.addAll(giveUp(shard, key, nowMs));
        } else {
            shard.queue().again(key, nowMs + (long) AGAIN_MS * failures);
        }
        return out;
    }

    private int attemptsMax(HostedShard shard, ItemKey key) {
        FleetConfig inForce = configuration.get();
        String route = shard.jobs().job(key.job()).route();
        return inForce == null || inForce.route(route) == null
                ? DEFAULT_ATTEMPTS_MAX
                : inForce.route(route).maxAttempts();
    }

    /** Gives up what has waited for longer than it may. */
    List<ReplicaOutput> expire(HostedShard shard, long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        for (ItemKey key : shard.queue().takeExpired(shard.jobs().jobs(), EXPIRY_MARGIN_MS, nowMs)) {
            out.addAll(giveUp(shard, key, nowMs));
        }
        return out;
    }
}
