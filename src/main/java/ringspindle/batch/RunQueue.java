package ringspindle.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the leader of a shard has run next: items of the oldest jobs first, each at one place at a time, again after a pause where
 * it did not work out. Knows what is under way since the leader began; not thread safe.
 */
public final class RunQueue {
    /** An item of a job. */
    public record ItemKey(String job, int item) {}

    /** Where an item stands that is neither listed nor simply waiting. */
    private static final class Progress {
        boolean busy;
        long notBeforeMs;
        /** Since when there has been no route for it, below 0 while there is one. */
        long routeMissingSinceMs = -1;
    }

    private final Map<ItemKey, Progress> progress = new HashMap<>();

    /** The next items to run, at most so many; each counts as busy from now on. */
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
        for (JobItem item : job.items()) {
            if (taken.size() >= limit) {
                return;
            }
            if (item.isListed()) {
                continue;
            }
            ItemKey key = new ItemKey(job.id(), item.index());
            Progress state = progress.computeIfAbsent(key, each -> new Progress());
            if (!state.busy && state.notBeforeMs <= nowMs) {
                state.busy = true;
                taken.add(key);
            }
        }
    }

    /** It may be taken again, but not before then. */
    public void again(ItemKey key, long notBeforeMs) {
        Progress state = progress.computeIfAbsent(key, each -> new Progress());
        state.busy = false;
        state.notBeforeMs = notBeforeMs;
    }

    /** There was no route for it; returns for how long that has been so, in ms. */
    public long routeMissing(ItemKey key, long nowMs) {
        Progress state = progress.computeIfAbsent(key, each -> new Progress());
        if (state.routeMissingSinceMs < 0) {
            state.routeMissingSinceMs = nowMs;
        }
        return nowMs - state.routeMissingSinceMs;
    }

    /** There was a route for it. */
    public void routeFound(ItemKey key) {
        Optional.ofNullable(progress.get(key)).ifPresent(state -> state.routeMissingSinceMs = -1);
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
        progress.keySet().removeIf(key -> !open.contains(key.job()));
    }
}
