package ringspindle.telemetry;

/**
 * Attempts at one engine within a window, by outcome, and what runs there now. Attempts that clients or parents ended are
 * not counted, as they say nothing of the engine.
 *
 * @param answered attempts with a complete answer
 * @param notRun attempts that the engine rejected before it ran them
 * @param failed attempts whose outcome speaks against the engine
 * @param running attempts that run now
 * @param tokens tokens of the attempts that run now
 * @param latencies how long first bytes of answers took
 */
public record AttemptCounts(
        int answered, int notRun, int failed, int running, long tokens, LatencyHistogram latencies) {
    /** No attempts; the identity of {@link #merge}. */
    public static final AttemptCounts NONE = new AttemptCounts(0, 0, 0, 0, 0, LatencyHistogram.EMPTY);

    /** Both together, in any order. */
    public AttemptCounts merge(AttemptCounts other) {
        return new AttemptCounts(
                answered + other.answered,
                notRun + other.notRun,
                failed + other.failed,
                running + other.running,
                tokens + other.tokens,
                latencies.merge(other.latencies));
    }

    /** True if nothing was seen and nothing runs. */
    public boolean isEmpty() {
        return answered == 0 && notRun == 0 && failed == 0 && running == 0 && tokens == 0;
    }
}
