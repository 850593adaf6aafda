package ringspindle.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * What the leader of a shard has run next: items of the oldest jobs first, each at one place at a time, again after a pause where
 * it did not work out. Knows what is under way since the leader began; not thread safe.
 */
public final class RunQueue {
    /** An item of a job. */
    public record ItemKey(String job, int item) {}

    /** An item that waits for a time. */
    private record Delayed(int item, long notBeforeMs) {}

    /** The items of one job that have no result. */
    private static final class JobRuns {
        final Deque<Integer> ready = new ArrayDeque<>();
        final PriorityQueue<Delayed> delayed = new PriorityQueue<>(Comparator.comparingLong(Delayed::notBeforeMs));
        /** Items that were taken and have not come back. */
        final Set<Integer> taken = new HashSet<>();

        JobRuns(Job job) {
            for (JobItem item : job.items()) {
                if (!item.isListed()) {
                    ready.add(item.index());
                }
            }
        }

        /** The next item that may be taken now, empty if there is none. */
        Optional<Integer> poll(Job job, long nowMs) {
            while (!delayed.isEmpty() && delayed.peek().notBeforeMs() <= nowMs) {
                ready.add(delayed.poll().item());
            }
            while (!ready.isEmpty()) {
                int item = ready.poll();
                if (!job.items().get(item).isListed()) {
                    taken.add(item);
                    return Optional.of(item);
                }
            }
            return Optional.empty();
        }
    }

    private final Map<String, JobRuns> runs = new HashMap<>();
    /** Since when there has been no route for an item. */
    private final Map<ItemKey, Long> routeMissingSinceMs = new HashMap<>();

    /** The next items to run, at most so many; each counts as taken from now on. */
    public List<ItemKey> take(Collection<Job> jobs, int limit, long nowMs) {
        List<ItemKey> taken = new ArrayList<>();
        for (Job job : jobs) {
            if (taken.size() >= limit) {
                break;
            }
            if (!job.isClosed()) {
                take(job, limit, nowMs, taken);
            }
        }
        return taken;
    }

    private void take(Job job, int limit, long nowMs, List<ItemKey> taken) {
        JobRuns ofJob = runs.computeIfAbsent(job.id(), id -> new JobRuns(job));
        while (taken.size() < limit) {
            Optional<Integer> item = ofJob.poll(job, nowMs);
            if (item.isEmpty()) {
                return;
            }
            taken.add(new ItemKey(job.id(), item.get()));
        }
    }

    /** An item that was taken may be taken again, but not before then. */
    public void again(ItemKey key, long notBeforeMs) {
        JobRuns ofJob = runs.get(key.job());
        if (ofJob != null && ofJob.taken.remove(key.item())) {
            ofJob.delayed.add(new Delayed(key.item(), notBeforeMs));
        }
    }

    /** There was no route for it; returns for how long that has been so, in ms. */
    public long routeMissing(ItemKey key, long nowMs) {
        return nowMs - routeMissingSinceMs.computeIfAbsent(key, each -> nowMs);
    }

    /** There was a route for it. */
    public void routeFound(ItemKey key) {
        routeMissingSinceMs.remove(key);
    }

    /** Items that wait and whose job is older than it allows them to wait. */
    public List<ItemKey> takeExpired(Collection<Job> jobs, long marginMs, long nowMs) {
        List<ItemKey> expired = new ArrayList<>();
        for (Job job : jobs) {
            if (!job.isClosed() && job.maxWaitS() > 0 && nowMs - job.learntMs() > job.maxWaitS() * 1000L + marginMs) {
                take(job, Integer.MAX_VALUE, Long.MAX_VALUE, expired);
            }
        }
        return expired;
    }

    /** Forgets what is known of jobs that are over. */
    public void retain(Collection<Job> jobs) {
        Set<String> open = new HashSet<>();
        jobs.stream().filter(job -> !job.isClosed()).forEach(job -> open.add(job.id()));
        runs.keySet().retainAll(open);
        routeMissingSinceMs.keySet().removeIf(key -> !open.contains(key.job()));
    }
}
