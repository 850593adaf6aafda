package ringspindle;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import ringspindle.cli.ExitCode;

/**
 * Ends a process that was told to end and has not done so by itself shortly before the platform would kill it, whatever it
 * hangs in. The last resort of a shutdown; whoever meets it finds a line of level SEVERE.
 */
final class ShutdownDeadline {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Of the grace period, what is left when the process is ended. */
    private static final int RESERVED_MS = 300;

    private ShutdownDeadline() {}

    /**
     * Watches from now on, on a thread of its own; {@code ShutdownDeadline.start(signals.terminated(), () -> 8000L)}.
     *
     * @param terminated counted down when the process is told to end
     * @param graceMs how long it may take from then on
     */
    static void start(CountDownLatch terminated, Supplier<Long> graceMs) {
        Thread watch = new Thread(() -> watch(terminated, graceMs), "shutdown-deadline");
        watch.setDaemon(true);
        watch.start();
    }

    private static void watch(CountDownLatch terminated, Supplier<Long> graceMs) {
        try {
            terminated.await();
            TimeUnit.MILLISECONDS.sleep(Math.max(0, graceMs.get() - RESERVED_MS));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return;
        }
        LOG.atSevere().log("not ended within the grace period");
        Runtime.getRuntime().halt(ExitCode.FAILED.value());
    }
}
