package ringspindle.retry;

/**
 * Decides the next step after an attempt without a response, while its action is active. A pure function.
 *
 * <p>Based on "Stop Canceled LLM Requests From Triggering Fallback" with the change described in docs/DESIGN-NOTE.md:
 * after an attempt that may have run, only a repeatable request is sent again.
 */
final class RetryRule {
    private RetryRule() {}

    /**
     * Returns the decision.
     *
     * @param responseCommitted whether output has reached the client
     * @param mayHaveRun whether any attempt so far may have run the request
     * @param sentAttempts number of attempts sent to an engine
     * @param timeLeft whether the action's deadline is still ahead
     */
    static RetryDecision decide(
            RetryPolicy policy, boolean responseCommitted, boolean mayHaveRun, int sentAttempts, boolean timeLeft) {
        boolean mayRetry = timeLeft && sentAttempts < policy.maxAttempts();
        if (responseCommitted) {
            return policy.resumable() && mayRetry ? RetryDecision.RESUME : RetryDecision.BREAK_OFF;
        }
        if (mayRetry && (!mayHaveRun || policy.repeatable())) {
            return RetryDecision.FALLBACK;
        }
        return mayHaveRun ? RetryDecision.FAIL : RetryDecision.REFUSE;
    }
}
