package ringspindle.retry;

/**
 * The one event of an action's end. It holds nothing that the client sent.
 *
 * @param actionId the action's own identifier
 * @param state completed or canceled
 * @param cause why it was canceled, null if it completed
 * @param attemptCount how many attempts were started
 * @param responseCommitted whether output had reached the client
 * @param lastOutcome how the last attempt to end had ended, null if none had
 * @param elapsedMs since the action was opened
 * @param remainingMs until its deadline, below 0 past it
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
