package ringspindle.proxy;

import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The deadline of a request whose body is still on its way: either the body comes first or the deadline does, and only the
 * first has an effect. Thread safe.
 */
final class BodyDeadline {
    private enum State {
        OPEN,
        MET,
        PASSED
    }

    private final Runnable onPassed;
    private State state = State.OPEN;
    private Scheduler.Task timer;

    /** Runs that if the deadline comes before the body is whole. */
    BodyDeadline(Runnable onPassed) {
        this.onPassed = onPassed;
    }

    /** The timer that will call {@link #expire}. */
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

    /** The body is whole, or its reading has failed; false if the client has its answer already. */
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

    /** The deadline has come. */
    void expire() {
        synchronized (this) {
            if (state != State.OPEN) {
                return;
            }
            state = State.PASSED;
        }
        onPassed.run();
    }
}
