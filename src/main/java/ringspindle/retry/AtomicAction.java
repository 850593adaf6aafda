package ringspindle.retry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Implements the lifecycle of an action. Invariant: state and cause change together, exactly once, from {@link #ACTIVE}
 * to a terminal status by compare-and-set. Only the thread that makes this change runs the registered cleanups and
 * notifies the listener; a cleanup registered later runs in the thread that registers it.
 */
final class AtomicAction implements Action {
    private record ActionStatus(State state, CancelCause cause) {}

    private static final ActionStatus ACTIVE = new ActionStatus(State.ACTIVE, null);

    /** An attempt of this action; its outcome is set once. */
    private static final class ChildAttempt implements Attempt {
        private final int number;
        private final long deadlineMs;
        private final boolean ownTimeout;
        private final AtomicReference<AttemptOutcome> outcome = new AtomicReference<>();
        private volatile boolean sent;

        ChildAttempt(int number, long deadlineMs, boolean ownTimeout) {
            this.number = number;
            this.deadlineMs = deadlineMs;
            this.ownTimeout = ownTimeout;
        }

        @Override
        public int number() {
            return number;
        }

        @Override
        public long deadlineMs() {
            return deadlineMs;
        }

        @Override
        public boolean hasOwnTimeout() {
            return ownTimeout;
        }

        @Override
        public AttemptOutcome outcome() {
            return outcome.get();
        }

        @Override
        public void markSent() {
            sent = true;
        }

        @Override
        public boolean isSent() {
            return sent;
        }

        boolean mayHaveRun() {
            AttemptOutcome endOutcome = outcome.get();
            return sent && (endOutcome == null || !endOutcome.notRun());
        }
    }

    private final String id;
    private final long openedMs;
    private final long deadlineMs;
    private final Listener listener;
    private final AtomicReference<ActionStatus> status = new AtomicReference<>(ACTIVE);
    private final List<ChildAttempt> attempts = Collections.synchronizedList(new ArrayList<>(2));
    /** Synchronize on this list to access it or {@link #cleanupsDrained}. */
    private final List<Runnable> cleanups = new ArrayList<>(2);

    private boolean cleanupsDrained;
    private volatile boolean responseCommitted;
    private volatile AttemptOutcome lastOutcome;

    AtomicAction(String id, long nowMs, long deadlineMs, Listener listener) {
        this.id = id;
        this.openedMs = nowMs;
        this.deadlineMs = deadlineMs;
        this.listener = listener;
    }

    @Override
    public String id() {
        return id;
    }

    @Override
    public State state() {
        return status.get().state();
    }

    @Override
    public long deadlineMs() {
        return deadlineMs;
    }

    @Override
    public boolean isLive(long nowMs) {
        return isActive() && nowMs < deadlineMs;
    }

    private boolean isActive() {
        return status.get() == ACTIVE;
    }

    @Override
    public Attempt startAttempt(long nowMs, long timeoutMs) {
        if (!isLive(nowMs)) {
            return null;
        }
        boolean ownTimeout = timeoutMs > 0 && nowMs + timeoutMs < deadlineMs;
        long attemptDeadlineMs = ownTimeout ? nowMs + timeoutMs : deadlineMs;
        ChildAttempt attempt = new ChildAttempt(attempts.size() + 1, attemptDeadlineMs, ownTimeout);
        attempts.add(attempt);
        return attempt;
    }

    @Override
    public void commitResponse() {
        responseCommitted = true;
    }

    @Override
    public boolean isResponseCommitted() {
        return responseCommitted;
    }

    @Override
    public boolean complete(long nowMs) {
        return end(new ActionStatus(State.COMPLETED, null), nowMs);
    }

    @Override
    public boolean cancel(CancelCause cause, long nowMs) {
        return end(new ActionStatus(State.CANCELED, cause), nowMs);
    }

    private boolean end(ActionStatus ended, long nowMs) {
        if (!status.compareAndSet(ACTIVE, ended)) {
            return false;
        }
        drainCleanups().forEach(Runnable::run);
        listener.onActionEnded(new TerminalEvent(
                id,
                ended.state(),
                ended.cause(),
                attempts.size(),
                responseCommitted,
                lastOutcome,
                nowMs - openedMs,
                deadlineMs - nowMs));
        return true;
    }

    private List<Runnable> drainCleanups() {
        synchronized (cleanups) {
            cleanupsDrained = true;
            List<Runnable> registered = new ArrayList<>(cleanups);
            cleanups.clear();
            return registered;
        }
    }

    @Override
    public boolean mayHaveRun() {
        synchronized (attempts) {
            for (ChildAttempt attempt : attempts) {
                if (attempt.mayHaveRun()) {
                    return true;
                }
            }
        }
        return false;
    }

    @Override
    public int attemptCount() {
        return attempts.size();
    }

    @Override
    public RetryDecision endAttempt(Attempt attempt, AttemptOutcome outcome, RetryPolicy policy, long nowMs) {
        ChildAttempt childAttempt = (ChildAttempt) attempt;
        boolean actionEnded = !isActive();
        AttemptOutcome actual = actualOutcome(childAttempt, outcome, actionEnded);
        if (!childAttempt.outcome.compareAndSet(null, actual)) {
            return RetryDecision.NOTHING;
        }
        lastOutcome = actual;
        if (actionEnded || actual == AttemptOutcome.ANSWERED) {
            return RetryDecision.NOTHING;
        }
        return RetryRule.decide(policy, responseCommitted, mayHaveRun(), sentCount(), nowMs < deadlineMs);
    }

    /** An attempt cut short by the end of its action is no engine failure, and one never sent cannot have run. */
    private static AttemptOutcome actualOutcome(ChildAttempt attempt, AttemptOutcome outcome, boolean actionEnded) {
        if (actionEnded && outcome != AttemptOutcome.ANSWERED) {
            return AttemptOutcome.PARENT_ENDED;
        }
        return outcome == AttemptOutcome.BROKEN && !attempt.isSent() ? AttemptOutcome.NOT_SENT : outcome;
    }

    /** Returns the number of attempts sent to an engine; only those count toward the route's limit. */
    private int sentCount() {
        int sent = 0;
        synchronized (attempts) {
            for (ChildAttempt attempt : attempts) {
                sent += attempt.isSent() ? 1 : 0;
            }
        }
        return sent;
    }

    @Override
    public void onEnd(Runnable cleanup) {
        synchronized (cleanups) {
            if (!cleanupsDrained) {
                cleanups.add(cleanup);
                return;
            }
        }
        cleanup.run();
    }
}
