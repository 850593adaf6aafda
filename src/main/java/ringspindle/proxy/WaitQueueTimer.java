package ringspindle.proxy;

import java.util.concurrent.atomic.AtomicBoolean;

/** Drains the queue of waiting requests in order, shortly after the first one was added. Thread safe. */
final class WaitQueueTimer {
    private static final int RETRY_DELAY_MS = 20;

    /** Schedules a task. */
    @FunctionalInterface
    interface TaskScheduler {
        /** Runs the task after the delay. */
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

    /** Returns the number of waiting requests. */
    int size() {
        return queue.size();
    }

    private void drain() {
        drainScheduled.set(false);
        queue.drain().forEach(ProxiedRequest::onDequeued);
    }
}
