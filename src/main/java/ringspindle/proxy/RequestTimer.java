package ringspindle.proxy;

import org.eclipse.jetty.util.thread.Scheduler;

/** The single timer of a request, reset to whatever is due next. Guarded by its owner. */
final class RequestTimer {
    private final ProxyHandler proxy;
    private final Runnable onDue;
    /** Null while no timer is set. */
    private Scheduler.Task task;

    RequestTimer(ProxyHandler proxy, Runnable onDue) {
        this.proxy = proxy;
        this.onDue = onDue;
    }

    /** Schedules the callback for a time of the monotonic clock, replacing an earlier schedule. */
    void set(long atMs) {
        clear();
        task = proxy.schedule(onDue, Math.max(1, atMs - proxy.nowMs()));
    }

    void clear() {
        if (task != null) {
            task.cancel();
            task = null;
        }
    }
}
