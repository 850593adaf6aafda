package ringspindle.transport;

import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.util.component.LifeCycle;

/** Stops components at the end of a process, where a failure to stop changes nothing. */
public final class LifeCycles {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Jetty may wait for ever for a selector whose threads are gone; the end of the process does not. */
    private static final int STOP_MAX_MS = 3000;

    private LifeCycles() {}

    /** Stops the component if there is one, and waits for that for a few seconds at most. */
    public static void stopQuietly(LifeCycle component) {
        if (component == null) {
            return;
        }
        Thread stopper = new Thread(() -> stop(component), "stop");
        stopper.setDaemon(true);
        stopper.start();
        try {
            stopper.join(STOP_MAX_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void stop(LifeCycle component) {
        try {
            component.stop();
        } catch (Exception failure) {
            LOG.atFine().withCause(failure).log("component does not stop");
        }
    }
}
