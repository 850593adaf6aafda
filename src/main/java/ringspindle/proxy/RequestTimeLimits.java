package ringspindle.proxy;

import ringspindle.config.FleetConfig;

/** How long the parts of a request may take, in ms. All figures are defaults of this project. Pure. */
final class RequestTimeLimits {
    /** How long a request waits for capacity once something has run or reached the client. */
    private static final int WAIT_AFTER_RUN_MS = 1500;
    /** A request that has not run waits for this part of its latency target, and at least so long. */
    private static final int WAIT_PART_OF_TARGET = 5;

    private static final int WAIT_LEAST_MS = 40;

    private static final int STREAM_ATTEMPT_LEAST_MS = 1500;
    private static final int STREAM_ATTEMPT_TARGETS = 2;
    /** Prompt tokens that an engine reads in a millisecond, at the least; lengthens a stream's attempt. */
    private static final int TOKENS_READ_PER_MS = 15;

    private static final int PLAIN_ATTEMPT_LEAST_MS = 250;
    private static final double PLAIN_ATTEMPT_TARGETS = 1.5;

    private static final int SILENCE_LEAST_MS = 1000;
    private static final int SILENCE_GAPS = 2;

    private final AdmittedRequest admitted;

    RequestTimeLimits(AdmittedRequest admitted) {
        this.admitted = admitted;
    }

    /**
     * How long a request may take: the lesser of the route's deadline and what the client states, if it does.
     *
     * @throws NumberFormatException if what it states is no number
     */
    static long timeLimitMs(FleetConfig.Route route, String stated) {
        return stated == null
                ? route.deadlineMs()
                : Math.min(route.deadlineMs(), (long) Double.parseDouble(stated.trim()));
    }

    /** How long an attempt may take where another may follow. */
    long attemptMs() {
        int targetMs = admitted.route().aimMs();
        if (admitted.isStreaming()) {
            long readingMs = ((long) admitted.ownTokens() + admitted.sharedTokens()) / TOKENS_READ_PER_MS;
            return Math.max(STREAM_ATTEMPT_LEAST_MS, (long) STREAM_ATTEMPT_TARGETS * targetMs) + readingMs;
        }
        return Math.max(PLAIN_ATTEMPT_LEAST_MS, (long) (targetMs * PLAIN_ATTEMPT_TARGETS));
    }

    /** Silence of a stream after which another engine may be tried. */
    long silenceMs() {
        return Math.max(SILENCE_LEAST_MS, (long) SILENCE_GAPS * admitted.route().tokenGapMs());
    }

    /**
     * How long the request may wait for capacity from now on.
     *
     * @param begun something has run, or reached the client
     */
    long waitMs(boolean begun, long nowMs) {
        if (begun) {
            return WAIT_AFTER_RUN_MS;
        }
        if (admitted.rule() != null && admitted.rule().waitMs() >= 0) {
            return admitted.rule().waitMs();
        }
        long sinceReceivedMs = nowMs - admitted.receivedMs();
        return Math.max(WAIT_LEAST_MS, admitted.route().aimMs() / WAIT_PART_OF_TARGET - sinceReceivedMs);
    }
}
