package ringspindle.retry;

/**
 * A client's request as one logical action: the parent scope of all that is done for it. It is active until exactly one of
 * completion and cancellation wins; its attempts are child scopes that cannot outlive it.
 *
 * <pre>{@code
 * Action action = Action.open("node-1", nowMs, 8000, event -> log(event));
 * Attempt attempt = action.startAttempt(nowMs, 1500);
 * attempt.markSent();
 * RetryDecision next = action.endAttempt(attempt, AttemptOutcome.BROKEN, policy, nowMs);
 * }</pre>
 *
 * <p>All times are milliseconds of the steady clock. Thread safe.
 */
public interface Action {
    /** Where an action stands. */
    enum State {
        ACTIVE,
        COMPLETED,
        CANCELED
    }

    /** Told of the action's end, once. */
    interface Listener {
        /** The action has ended, by completion or cancellation. */
        void onActionEnded(TerminalEvent event);
    }

    /** Its identifier, with nothing of the client in it. */
    String id();

    /** Where it stands. */
    State state();

    /** When the whole action is over at the latest. */
    long deadlineMs();

    /**
     * True while a new attempt may start: it is active, and time is left. To be asked after each wait and just before
     * anything is sent.
     */
    boolean isLive(long nowMs);

    /**
     * Opens a child scope whose deadline is the sooner of its own and the action's.
     *
     * @param timeoutMs how long the attempt may take by itself; 0 or less for as long as the action
     * @return null if the action is over
     */
    Attempt startAttempt(long nowMs, long timeoutMs);

    /** Notes that output reaches the client: from here on the action is resumed or broken off, never started anew. */
    void commitResponse();

    /** True once output has reached the client. */
    boolean isResponseCommitted();

    /** Makes the transition from active to completed; true for the one caller that made it. */
    boolean complete(long nowMs);

    /** Makes the transition from active to canceled; true for the one caller that made it. */
    boolean cancel(CancelCause cause, long nowMs);

    /** True if any attempt so far may have run the request. */
    boolean mayHaveRun();

    /** How many attempts were started. */
    int attemptCount();

    /**
     * Ends an attempt and decides what follows. An attempt that breaks because the action is over ends as
     * {@link AttemptOutcome#PARENT_ENDED}, whatever its outcome looked like.
     */
    RetryDecision endAttempt(Attempt attempt, AttemptOutcome outcome, RetryPolicy policy, long nowMs);

    /** Registers what is to be released once the action is over; runs it at once if it is. */
    void onEnd(Runnable cleanup);

    /**
     * Opens an active action.
     *
     * @param timeLimitMs how long it may take
     */
    static Action open(String id, long nowMs, long timeLimitMs, Listener listener) {
        return new AtomicAction(id, nowMs, nowMs + timeLimitMs, listener);
    }
}
