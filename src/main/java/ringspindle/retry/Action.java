package ringspindle.retry;

/**
 * Lifecycle of one client request and parent scope of its attempts. An action is active until either completion or
 * cancellation takes effect, never both. Attempts cannot outlive their action.
 *
 * <pre>{@code
 * Action action = Action.open("node-1", nowMs, 8000, event -> log(event));
 * Attempt attempt = action.startAttempt(nowMs, 1500);
 * attempt.markSent();
 * RetryDecision next = action.endAttempt(attempt, AttemptOutcome.BROKEN, policy, nowMs);
 * }</pre>
 *
 * <p>All times are milliseconds of the monotonic clock. Thread safe.
 */
public interface Action {
    /** Lifecycle state. */
    enum State {
        ACTIVE,
        COMPLETED,
        CANCELED
    }

    /** Receives exactly one notification when the action ends. */
    interface Listener {
        /** Called when the action has completed or was canceled. */
        void onActionEnded(TerminalEvent event);
    }

    /** Returns the identifier, which contains no client data. */
    String id();

    /** Returns the current state. */
    State state();

    /** Returns the overall deadline. */
    long deadlineMs();

    /**
     * Returns whether a new attempt may start: the action is active and its deadline has not passed. Callers must check
     * this after each wait and immediately before sending.
     */
    boolean isLive(long nowMs);

    /**
     * Starts an attempt whose deadline is the earlier of its own timeout and the action's deadline.
     *
     * @param timeoutMs timeout of the attempt; 0 or less to use only the deadline of the action
     * @return null if the action has ended or its deadline has passed
     */
    Attempt startAttempt(long nowMs, long timeoutMs);

    /** Records that output reaches the client. From then on the action can be resumed or aborted but not restarted. */
    void commitResponse();

    /** Returns whether output has reached the client. */
    boolean isResponseCommitted();

    /** Changes the state from active to completed; returns true only to the caller that made the change. */
    boolean complete(long nowMs);

    /** Changes the state from active to canceled; returns true only to the caller that made the change. */
    boolean cancel(CancelCause cause, long nowMs);

    /** Returns whether any attempt so far may have run the request. */
    boolean mayHaveRun();

    /** Returns the number of attempts started. */
    int attemptCount();

    /**
     * Ends an attempt and decides what to do next. If the action has already ended, any outcome other than
     * {@link AttemptOutcome#ANSWERED} is recorded as {@link AttemptOutcome#PARENT_ENDED}.
     */
    RetryDecision endAttempt(Attempt attempt, AttemptOutcome outcome, RetryPolicy policy, long nowMs);

    /** Registers a cleanup to run when the action ends; runs it immediately if the action has ended. */
    void onEnd(Runnable cleanup);

    /**
     * Opens an active action.
     *
     * @param timeLimitMs maximum duration of the action
     */
    static Action open(String id, long nowMs, long timeLimitMs, Listener listener) {
        return new AtomicAction(id, nowMs, nowMs + timeLimitMs, listener);
    }
}
