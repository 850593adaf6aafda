package ringspindle.transport;

import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** The threads of a program: one pool, one for timers. */
public record Threads(QueuedThreadPool pool, org.eclipse.jetty.util.thread.Scheduler timers) {

    /** {@code Threads.start("dp", 20, 8)} starts a pool of 8 to 20 threads and a timer thread, all of them daemons. */
    public static Threads start(String name, int most, int least) throws Exception {
        QueuedThreadPool pool = new QueuedThreadPool(most, least);
        pool.setName(name);
        pool.setReservedThreads(0);
        pool.setDaemon(true);
        pool.start();
        ScheduledExecutorScheduler timers = new ScheduledExecutorScheduler(name + "-timers", true, 1);
        timers.start();
        return new Threads(pool, timers);
    }
}
