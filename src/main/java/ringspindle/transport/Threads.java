package ringspindle.transport;

import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/** The threads of a process: one pool, and one thread for what is due at a time. */
public record Threads(QueuedThreadPool pool, Scheduler scheduler) {

    /** {@code Threads.start("dp", 20, 8)} starts a pool of 8 to 20 threads and a scheduler's thread, all of them daemons. */
    public static Threads start(String name, int most, int least) throws Exception {
        QueuedThreadPool pool = new QueuedThreadPool(most, least);
        pool.setName(name);
        pool.setReservedThreads(0);
        pool.setDaemon(true);
        pool.start();
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler(name + "-timers", true, 1);
        scheduler.start();
        return new Threads(pool, scheduler);
    }
}
