package ringspindle.retry;

/**
 * Event emitted exactly once when an action ends. It contains no data sent by the client.
 *
 * @param actionId identifier of the action
 * @param state completed or canceled
 * @param cause why the action was canceled, null if it completed
 * @param attemptCount number of attempts started
 * @param responseCommitted whether output had reached the client
 * @param lastOutcome outcome of the attempt that ended last, null if none has ended
 * @param elapsedMs time since the action was opened
 * @param remainingMs time until the deadline, negative after it
 */
public record TerminalEvent(
        String actionId,
        Action.State state,
        CancelCause cause,
        int attemptCount,
        boolean responseCommitted,
        AttemptOutcome lastOutcome,
        long elapsedMs,
        long remainingMs) {}
