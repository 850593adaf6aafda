package ringspindle.proxy;

import ringspindle.config.FleetConfig;

/** Time limits for the phases of a request, in ms. Has no side effects. */
final class RequestTimeLimits {
    /** Maximum wait for capacity once an engine has run something or the client has received output. */
    private static final int CAPACITY_WAIT_AFTER_RUN_MS = 1500;
    /** A request that has not run waits for its latency target divided by this, but at least the minimum below. */
    private static final int CAPACITY_WAIT_TARGET_DIVISOR = 5;

    private static final int MIN_CAPACITY_WAIT_MS = 40;

    private static final int MIN_STREAM_ATTEMPT_MS = 1500;
    private static final int STREAM_ATTEMPT_TARGET_FACTOR = 2;
    /** Lowest prompt processing rate of an engine; a stream's attempt timeout is extended by the prompt at this rate. */
    private static final int MIN_PROMPT_TOKENS_PER_MS = 15;

    private static final int MIN_NON_STREAM_ATTEMPT_MS = 250;
    private static final double NON_STREAM_ATTEMPT_TARGET_FACTOR = 1.5;

    private static final int MIN_SILENCE_MS = 1000;
    private static final int SILENCE_TOKEN_GAP_FACTOR = 2;

    private final AdmittedRequest admitted;

    RequestTimeLimits(AdmittedRequest admitted) {
        this.admitted = admitted;
    }

    /**
     * Returns a request's time limit: the route's deadline, or the client's if it states a shorter one.
     *
     * @throws NumberFormatException if the client's deadline is not a number
     */
    static long timeLimitMs(FleetConfig.Route route, String requestedDeadlineMs) {
        return requestedDeadlineMs == null
                ? route.deadlineMs()
                : Math.min(route.deadlineMs(), (long) Double.parseDouble(requestedDeadlineMs.trim()));
    }

    /** Returns the timeout of an attempt that may be followed by another one. */
    long attemptTimeoutMs() {
        int targetMs = admitted.route().aimMs();
        if (admitted.isStreaming()) {
            long promptMs = ((long) admitted.ownTokens() + admitted.sharedTokens()) / MIN_PROMPT_TOKENS_PER_MS;
            return Math.max(MIN_STREAM_ATTEMPT_MS, (long) STREAM_ATTEMPT_TARGET_FACTOR * targetMs) + promptMs;
        }
        return Math.max(MIN_NON_STREAM_ATTEMPT_MS, (long) (targetMs * NON_STREAM_ATTEMPT_TARGET_FACTOR));
    }

    /** Returns how long a stream may be silent before another engine may be tried. */
    long silenceTimeoutMs() {
        return Math.max(
                MIN_SILENCE_MS,
                (long) SILENCE_TOKEN_GAP_FACTOR * admitted.route().tokenGapMs());
    }

    /**
     * Returns how long the request may wait for capacity from now on.
     *
     * @param startedOrSent an engine has run something, or output has reached the client
     */
    long capacityWaitMs(boolean startedOrSent, long nowMs) {
        if (startedOrSent) {
            return CAPACITY_WAIT_AFTER_RUN_MS;
        }
        if (admitted.rule() != null && admitted.rule().waitMs() >= 0) {
            return admitted.rule().waitMs();
        }
        long elapsedMs = nowMs - admitted.receivedMs();
        return Math.max(MIN_CAPACITY_WAIT_MS, admitted.route().aimMs() / CAPACITY_WAIT_TARGET_DIVISOR - elapsedMs);
    }
}
