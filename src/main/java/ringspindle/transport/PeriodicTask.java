package ringspindle.transport;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;

/** Calls an owner at a steady pace; a call that fails is logged and does not end it. */
public final class PeriodicTask implements Runnable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Runnable tick;
    private final org.eclipse.jetty.util.thread.Scheduler timers;
    private final int everyMs;

    private PeriodicTask(Runnable tick, org.eclipse.jetty.util.thread.Scheduler timers, int everyMs) {
        this.tick = tick;
        this.timers = timers;
        this.everyMs = everyMs;
    }

    /** {@code PeriodicTask.start(this::tick, timers, 100)} ticks at once and then every 100 ms after the last tick. */
    public static void start(Runnable tick, org.eclipse.jetty.util.thread.Scheduler timers, int everyMs) {
        new PeriodicTask(tick, timers, everyMs).run();
    }

    @Override
    public void run() {
        try {
            tick.run();
        } catch (RuntimeException x) {
            LOG.atSevere().withCause(x).log("tick fails");
        }
        timers.schedule(this, everyMs, TimeUnit.MILLISECONDS);
    }
}
