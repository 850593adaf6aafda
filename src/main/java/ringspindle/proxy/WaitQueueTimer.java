package ringspindle.proxy;

import java.util.concurrent.atomic.AtomicBoolean;

/** Lets requests that wait for capacity try again, all of them in order, shortly after the first of them came. Thread safe. */
final class WaitQueueTimer {
    private static final int RETRY_DELAY_MS = 20;

    /** Runs a task later. */
    @FunctionalInterface
    interface TaskScheduler {
        /** Runs it so many milliseconds from now. */
        void schedule(Runnable task, long delayMs);
    }

    private final TaskScheduler scheduler;
    private final WaitQueue queue = new WaitQueue();
    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    WaitQueueTimer(TaskScheduler scheduler) {
        this.scheduler = scheduler;
    }

    void add(ProxiedRequest request) {
        if (drainScheduled.compareAndSet(false, true)) {
            scheduler.schedule(this::drain, RETRY_DELAY_MS);
        }
        queue.add(request);
    }

    /** How many wait. */
    int size() {
        return queue.size();
    }

    private void drain() {
        drainScheduled.set(false);
        queue.drain().forEach(ProxiedRequest::onDequeued);
    }
}
