package ringspindle.storagenode;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import ringspindle.batch.Job;
import ringspindle.batch.JobItem;
import ringspindle.batch.RunPace;
import ringspindle.batch.RunQueue.ItemKey;
import ringspindle.config.BatchSettings;
import ringspindle.protocol.BatchMessage.ItemCancel;
import ringspindle.protocol.BatchMessage.ItemRun;
import ringspindle.protocol.BatchMessage.JobItemData;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/**
 * Which items of the shards that this node leads run where. Items are spread over the storage nodes in touch; one that had no room
 * gets nothing for a moment. Confined to the lock of {@link ShardHost}.
 */
final class ItemDispatcher {
    /** A node that had no room at engines gets nothing new for so long. */
    private static final int PAUSE_MS = 120;

    /** What an item is taken to run for before any has. */
    private static final double RUN_MS_INITIAL = 2000;
    /** Weight of the last run in the mean of run times. */
    private static final double RUN_MS_WEIGHT = 0.05;

    /** An item that runs somewhere. */
    record Run(HostedShard shard, ItemKey key, NodeId executor, long startedMs) {}

    /** A message to the executor of an item. */
    record Order(NodeId executor, Message message) {}

    /** A storage node that runs items. */
    private static final class Executor {
        int running;
        long pausedUntilMs;
    }

    private final Map<NodeId, Executor> executors = new TreeMap<>();
    /** When the results of a job are due, on this node's steady clock. */
    private final ToLongFunction<Job> dueMs;

    private BatchSettings settings;
    /** How long items run that complete: a mean that follows the last ones. */
    private double runMs = RUN_MS_INITIAL;

    private final Map<Long, Run> runs = new HashMap<>();
    /** How many items of all shards may run at a time, as of the last tick. */
    private int places;

    private long lastRun;

    /**
     * A dispatcher of a leader that runs nothing yet.
     *
     * @param startId a random number: executors know runs by this node's address and their ids, so no other process here may use
     *     the same ids
     */
    ItemDispatcher(BatchSettings settings, ToLongFunction<Job> dueMs, long startId) {
        this.settings = settings;
        this.dueMs = dueMs;
        lastRun = startId;
    }

    /** Settings changed while running; what runs goes on. */
    void settings(BatchSettings changed) {
        settings = changed;
    }

    /** How many items run. */
    int running() {
        return runs.size();
    }

    /** Storage nodes that are in touch now; what ran at others is to be run again. */
    void setExecutors(Collection<NodeId> inTouch) {
        executors.keySet().retainAll(inTouch);
        inTouch.forEach(node -> executors.putIfAbsent(node, new Executor()));
    }

    /** Has as many items of a shard run as there is room for. */
    List<Order> dispatch(HostedShard shard, long nowMs) {
        int ofExecutors = executors.values().stream()
                .filter(executor -> executor.pausedUntilMs <= nowMs)
                .mapToInt(executor -> Math.max(0, settings.nodeRunsMax() - executor.running))
                .sum();
        // one count for all executors: what others run each of them knows only a second late
        int ofEngines = places - runs.size();
        int room = Math.max(0, Math.min(ofExecutors, ofEngines));
        List<Order> orders = new ArrayList<>();
        for (ItemKey key : shard.queue().take(shard.jobs().jobs(), room, nowMs)) {
            Job job = shard.jobs().job(key.job());
            Optional<JobItemData> data = job.items().get(key.item()).data();
            Optional<NodeId> executor = leastBusy(nowMs);
            if (data.isEmpty() || executor.isEmpty()) {
                shard.queue().again(key, nowMs + PAUSE_MS);
            } else {
                orders.add(run(shard, job, key, data.get(), executor.get(), nowMs));
            }
        }
        return orders;
    }

    /**
     * Counts anew how many items may run at a time; to be called with every tick.
     *
     * @param led the shards that this node leads
     * @param capacity requests that the engines of batch routes run at a time
     */
    void updatePlaces(List<HostedShard> led, int capacity, long nowMs) {
        int most = (int) (capacity * settings.engineShare());
        if (settings.policy() == BatchSettings.Policy.SHARE) {
            places = most;
            return;
        }
        int needed = 0;
        for (HostedShard shard : led) {
            needed += RunPace.places(shard.jobs().jobs(), dueMs, runMs, nowMs);
        }
        int least = (int) Math.ceil(capacity * settings.leastShare());
        places = Math.min(most, Math.max(least, needed));
    }

    private Optional<NodeId> leastBusy(long nowMs) {
        return executors.entrySet().stream()
                .filter(each ->
                        each.getValue().pausedUntilMs <= nowMs && each.getValue().running < settings.nodeRunsMax())
                .min(Comparator.comparingInt(each -> each.getValue().running))
                .map(Map.Entry::getKey);
    }

    private Order run(HostedShard shard, Job job, ItemKey key, JobItemData data, NodeId executor, long nowMs) {
        long id = ++lastRun;
        runs.put(id, new Run(shard, key, executor, nowMs));
        executors.get(executor).running++;
        JobItem item = job.items().get(key.item());
        ItemRun run =
                new ItemRun(id, item.instance(), job.host(), data.path(), job.tenant(), data.headers(), data.body());
        return new Order(executor, run);
    }

    /** A run has completed an item: how long it took counts for those that follow. */
    void completed(Run run, long nowMs) {
        runMs += (nowMs - run.startedMs() - runMs) * RUN_MS_WEIGHT;
    }

    /** A run has ended; empty if it is not known any more. */
    Optional<Run> ended(NodeId executor, long id) {
        Run run = runs.get(id);
        if (run == null || !run.executor().equals(executor)) {
            return Optional.empty();
        }
        remove(id);
        return Optional.of(run);
    }

    private void remove(long id) {
        Run run = runs.remove(id);
        Executor executor = executors.get(run.executor());
        if (executor != null) {
            executor.running = Math.max(0, executor.running - 1);
        }
    }

    /** That node had no room at engines. */
    void pause(NodeId node, long nowMs) {
        Executor executor = executors.get(node);
        if (executor != null) {
            executor.pausedUntilMs = nowMs + PAUSE_MS;
        }
    }

    /** The connection to a node is gone, or a newer one stands in its place: what ran there may run elsewhere. */
    void lost(NodeId executor, long nowMs) {
        List<Long> lost = runs.entrySet().stream()
                .filter(each -> each.getValue().executor().equals(executor))
                .map(Map.Entry::getKey)
                .toList();
        for (long id : lost) {
            Run run = runs.get(id);
            remove(id);
            run.shard().queue().again(run.key(), nowMs);
        }
    }

    /** Nothing of a job, or of a whole shard if it is null, is wanted any more. */
    List<Order> cancel(HostedShard shard, String job) {
        List<Order> orders = new ArrayList<>();
        for (Map.Entry<Long, Run> entry : List.copyOf(runs.entrySet())) {
            Run run = entry.getValue();
            if (run.shard() == shard && (job == null || job.equals(run.key().job()))) {
                remove(entry.getKey());
                orders.add(new Order(run.executor(), new ItemCancel(entry.getKey())));
            }
        }
        return orders;
    }
}
