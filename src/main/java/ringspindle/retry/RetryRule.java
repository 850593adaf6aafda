package ringspindle.retry;

/**
 * Decides what follows an attempt that did not answer, while its action is active. Pure.
 *
 * <p>Source: "Stop Canceled LLM Requests From Triggering Fallback", changed as docs/DESIGN-NOTE.md says: only what may run
 * more than once is sent again after an attempt that may have run.
 */
final class RetryRule {
    private RetryRule() {}

    /**
     * The decision.
     *
     * @param responseCommitted output has reached the client
     * @param mayHaveRun some attempt so far may have run the request
     * @param sentAttempts how many attempts reached an engine
     * @param timeLeft the action's deadline has not come
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
