package ringspindle.batch;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import ringspindle.protocol.BatchMessage.JobAccepted;
import ringspindle.protocol.BatchMessage.JobFailed;
import ringspindle.protocol.BatchMessage.JobListed;
import ringspindle.protocol.BatchMessage.JobMark;
import ringspindle.protocol.JobMarkKind;
import ringspindle.protocol.Message;

/**
 * The jobs of one shard, as its committed records have made them: the same on every replica. Not thread safe.
 *
 * <pre>{@code
 * table.apply(new JobAccepted("7c41", "nightly", "a.example", "", 60, items), nowMs);
 * table.apply(new JobListed("7c41", 0, 0, text), nowMs);
 * }</pre>
 */
public final class JobTable {
    private final Map<String, Job> jobs = new LinkedHashMap<>();

    /** Takes a committed record; one about a job that is not there changes nothing. */
    public void apply(Message committed, long nowMs) {
        if (committed instanceof JobAccepted accepted) {
            jobs.computeIfAbsent(accepted.job(), id -> new Job(accepted, nowMs));
        } else if (committed instanceof JobListed listed) {
            Job job = jobs.get(listed.job());
            if (job != null) {
                job.list(listed.item(), JobItem.State.of(listed.stateCode()), listed.text());
            }
        } else if (committed instanceof JobFailed failed) {
            Job job = jobs.get(failed.job());
            if (job != null) {
                job.items().get(failed.item()).fail();
            }
        } else if (committed instanceof JobMark mark) {
            apply(mark);
        }
    }

    private void apply(JobMark mark) {
        JobMarkKind kind = JobMarkKind.of(mark.kindCode());
        if (kind == JobMarkKind.FORGOTTEN) {
            jobs.remove(mark.job());
        } else if (kind == JobMarkKind.ENDED && jobs.containsKey(mark.job())) {
            jobs.get(mark.job()).end();
        }
    }

    /** The job with that id, null if there is none. */
    public Job job(String id) {
        return jobs.get(id);
    }

    /** All jobs, in the order in which they were accepted. */
    public Collection<Job> jobs() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    /** How many jobs are not over. */
    public int openCount() {
        return (int) jobs.values().stream().filter(job -> !job.isClosed()).count();
    }

    /** Items without a result, of all jobs that are not over. */
    public long waitingItems() {
        return jobs.values().stream()
                .filter(job -> !job.isClosed())
                .mapToLong(job -> job.items().size() - job.resultCount())
                .sum();
    }

    /** Tokens that wait for a tenant on a route. */
    public long waitingTokens(String tenant, String route) {
        long tokens = 0;
        for (Job job : jobs.values()) {
            if (job.route().equals(route) && job.tenant().equals(tenant)) {
                tokens += job.waitingTokens();
            }
        }
        return tokens;
    }
}
