package ringspindle.wire;

import org.eclipse.jetty.util.component.LifeCycle;

/** Stops parts at the end of a process, where a failure to stop changes nothing. */
public final class LifeCycleQuietly {
    private LifeCycleQuietly() {}

    /** {@code LifeCycleQuietly.stop(server)}; null is fine. */
    public static void stop(LifeCycle part) {
        if (part != null) {
            try {
                part.stop();
            } catch (Exception x) {
                // the process ends anyway
            }
        }
    }
}
