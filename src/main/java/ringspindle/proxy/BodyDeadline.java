package ringspindle.proxy;

import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Deadline for receiving the body of a request. Either the body or the deadline comes first, and only the first of them
 * has an effect. Thread safe.
 */
final class BodyDeadline {
    private enum State {
        OPEN,
        MET,
        PASSED
    }

    private final Runnable onExpired;
    private State state = State.OPEN;
    private Scheduler.Task timer;

    /**
     * Creates an open deadline.
     *
     * @param onExpired runs if the deadline expires before the body is complete
     */
    BodyDeadline(Runnable onExpired) {
        this.onExpired = onExpired;
    }

    /** Sets the timer that will call {@link #expire}; cancels it if the deadline is already met or expired. */
    synchronized void setTimer(Scheduler.Task timer) {
        if (state == State.OPEN) {
            this.timer = timer;
        } else {
            timer.cancel();
        }
    }

    synchronized boolean isMet() {
        return state == State.MET;
    }

    /** Marks the body as complete or failed; returns false if the deadline expired and the client was answered. */
    synchronized boolean markMet() {
        if (state != State.OPEN) {
            return false;
        }
        state = State.MET;
        if (timer != null) {
            timer.cancel();
        }
        return true;
    }

    /** Called by the timer; has no effect if the body came first. */
    void expire() {
        synchronized (this) {
            if (state != State.OPEN) {
                return;
            }
            state = State.PASSED;
        }
        onExpired.run();
    }
}
