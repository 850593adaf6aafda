package ringspindle.proxy;

import java.util.concurrent.atomic.AtomicBoolean;

/** Lets requests that wait for capacity try again, all of them in order, shortly after the first of them came. Thread safe. */
final class WaitQueueTimer {
    private static final int PERIOD_MS = 20;

    /** Runs a task later. */
    @FunctionalInterface
    interface Timer {
        /** Runs it so many milliseconds from now. */
        void schedule(Runnable task, long inMs);
    }

    private final Timer timer;
    private final WaitQueue queue = new WaitQueue();
    private final AtomicBoolean scheduled = new AtomicBoolean();

    WaitQueueTimer(Timer timer) {
        this.timer = timer;
    }

    void add(ProxiedRequest request) {
        if (scheduled.compareAndSet(false, true)) {
            timer.schedule(this::drain, PERIOD_MS);
        }
        queue.add(request);
    }

    /** How many wait. */
    int size() {
        return queue.size();
    }

    private void drain() {
        scheduled.set(false);
        queue.drain().forEach(ProxiedRequest::onDequeued);
    }
}
