package ringspindle.transport;

import org.eclipse.jetty.util.component.LifeCycle;

/** Stops parts at the end of a process, where a failure to stop changes nothing. */
public final class LifeCycles {
    private LifeCycles() {}

    /** {@code LifeCycles.stopQuietly(server)}; null is fine. */
    public static void stopQuietly(LifeCycle part) {
        if (part != null) {
            try {
                part.stop();
            } catch (Exception x) {
                // the process ends anyway
            }
        }
    }
}
