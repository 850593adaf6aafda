package ringspindle.transport;

import org.eclipse.jetty.util.component.LifeCycle;

/** Stops components at the end of a process, where a failure to stop changes nothing. */
public final class LifeCycles {
    private LifeCycles() {}

    /** Stops the component if there is one; {@code LifeCycles.stopQuietly(server)}. */
    public static void stopQuietly(LifeCycle component) {
        if (component != null) {
            try {
                component.stop();
            } catch (Exception e) {
                // the process ends anyway
            }
        }
    }
}
