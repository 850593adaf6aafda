package ringspindle.proxy;

import ringspindle.config.FleetConfig;

/** How long the parts of a request may take, in ms. All figures are defaults of this project. Pure. */
final class RequestTimeLimits {
    /** How long a request waits for capacity once something has run or reached the client. */
    private static final int CAPACITY_WAIT_AFTER_RUN_MS = 1500;
    /** A request that has not run waits for this part of its latency target, and at least so long. */
    private static final int CAPACITY_WAIT_TARGET_DIVISOR = 5;

    private static final int MIN_CAPACITY_WAIT_MS = 40;

    private static final int MIN_STREAM_ATTEMPT_MS = 1500;
    private static final int STREAM_ATTEMPT_TARGET_FACTOR = 2;
    /** Prompt tokens that an engine reads in a millisecond, at the least; lengthens a stream's attempt. */
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
     * How long a request may take: the lesser of the route's deadline and what the client states, if it does.
     *
     * @throws NumberFormatException if what it states is no number
     */
    static long timeLimitMs(FleetConfig.Route route, String requestedDeadlineMs) {
        return requestedDeadlineMs == null
                ? route.deadlineMs()
                : Math.min(route.deadlineMs(), (long) Double.parseDouble(requestedDeadlineMs.trim()));
    }

    /** How long an attempt may take where another may follow. */
    long attemptTimeoutMs() {
        int targetMs = admitted.route().aimMs();
        if (admitted.isStreaming()) {
            long promptMs = ((long) admitted.ownTokens() + admitted.sharedTokens()) / MIN_PROMPT_TOKENS_PER_MS;
            return Math.max(MIN_STREAM_ATTEMPT_MS, (long) STREAM_ATTEMPT_TARGET_FACTOR * targetMs) + promptMs;
        }
        return Math.max(MIN_NON_STREAM_ATTEMPT_MS, (long) (targetMs * NON_STREAM_ATTEMPT_TARGET_FACTOR));
    }

    /** Silence of a stream after which another engine may be tried. */
    long silenceTimeoutMs() {
        return Math.max(
                MIN_SILENCE_MS,
                (long) SILENCE_TOKEN_GAP_FACTOR * admitted.route().tokenGapMs());
    }

    /**
     * How long the request may wait for capacity from now on.
     *
     * @param startedOrSent something has run, or reached the client
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
