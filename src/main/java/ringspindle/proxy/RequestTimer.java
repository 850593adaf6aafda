package ringspindle.proxy;

import org.eclipse.jetty.util.thread.Scheduler;

/** The one timer of a request, set anew for whatever is due next. Guarded by its owner. */
final class RequestTimer {
    private final ProxyHandler proxy;
    private final Runnable onDue;
    /** Null while none is set. */
    private Scheduler.Task task;

    RequestTimer(ProxyHandler proxy, Runnable onDue) {
        this.proxy = proxy;
        this.onDue = onDue;
    }

    /** Runs the task at that time of the steady clock, in ms, in place of what was set before. */
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
