package ringspindle.batch;

import java.util.Collection;
import java.util.function.ToLongFunction;

/**
 * How many items have to run at a time so that every job is done when it is due. Jobs that have time leave the engines to live requests;
 * the closer the time, the more of them run. Without state.
 */
public final class RunPace {
    /** Jobs are to be done so long before they are due: reading results takes its time, and runs break. */
    private static final int MARGIN_MS = 2500;
    /** Places beyond the bare need: runs differ, and some are run again. */
    private static final double RESERVE = 1.25;

    private RunPace() {}

    /**
     * Places for items at engines.
     *
     * @param jobs of one leader, closed ones too
     * @param dueMs when all results of a job are due, on the clock of {@code nowMs}
     * @param runMs how long one item runs
     */
    public static int places(Collection<Job> jobs, ToLongFunction<Job> dueMs, double runMs, long nowMs) {
        double needed = 0;
        for (Job job : jobs) {
            if (!job.isClosed()) {
                double leftMs = Math.max(runMs, dueMs.applyAsLong(job) - MARGIN_MS - nowMs);
                int items = job.items().size() - job.resultCount();
                needed += items * Math.min(1, runMs / leftMs);
            }
        }
        return (int) Math.ceil(needed * RESERVE);
    }
}
