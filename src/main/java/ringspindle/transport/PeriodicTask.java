package ringspindle.transport;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Runs a task again and again, on the scheduler's thread. A run that throws an exception is logged and does not end it; an
 * {@link Error} ends the process.
 */
public final class PeriodicTask implements Runnable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Runnable task;
    private final Scheduler scheduler;
    private final int intervalMs;

    private PeriodicTask(Runnable task, Scheduler scheduler, int intervalMs) {
        this.task = task;
        this.scheduler = scheduler;
        this.intervalMs = intervalMs;
    }

    /**
     * Runs the task at once on this thread, and from then on each time {@code intervalMs} milliseconds after its last run
     * ended; {@code PeriodicTask.start(this::tick, scheduler, 100)}. It ends with the scheduler.
     */
    public static void start(Runnable task, Scheduler scheduler, int intervalMs) {
        new PeriodicTask(task, scheduler, intervalMs).run();
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("tick fails");
        } catch (Error e) {
            FatalErrors.end("periodic work", e);
        }
        scheduler.schedule(this, intervalMs, TimeUnit.MILLISECONDS);
    }
}
