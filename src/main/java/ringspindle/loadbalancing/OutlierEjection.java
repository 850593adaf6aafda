package ringspindle.loadbalancing;

import ringspindle.retry.AttemptOutcome;

/**
 * Ejection state of one engine and the schedule of its health probes.
 *
 * <p>An engine is ejected when it sends no bytes while requests wait, when a connection to it cannot be established,
 * when an attempt times out, or after {@value #EJECTION_FAILURE_THRESHOLD} consecutive failures. It gets no requests
 * until a health probe succeeds; the interval between probes grows from {@value #MIN_PROBE_INTERVAL_MS} to {@value
 * #MAX_PROBE_INTERVAL_MS} ms.
 *
 * <p>Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class OutlierEjection {
    private static final int EJECTION_FAILURE_THRESHOLD = 3;
    /**
     * Time without bytes after which an engine is ejected, in addition to the time allowed for its tokens in flight.
     */
    private static final int RESPONSE_TIMEOUT_MS = 900;

    private static final int MIN_PROBE_INTERVAL_MS = 400;
    private static final int MAX_PROBE_INTERVAL_MS = 2000;
    private static final long NOT_WAITING = -1;

    private final Runnable onEjected;
    private boolean ejected;
    private int consecutiveFailures;
    private long waitingSinceMs = NOT_WAITING;
    private long nextProbeMs;
    private long probeIntervalMs;

    /** Creates the state of an engine that is not ejected; {@code onEjected} runs on every ejection. */
    OutlierEjection(Runnable onEjected) {
        this.onEjected = onEjected;
    }

    boolean isEjected() {
        return ejected;
    }

    /** Starts the response timeout, unless another request is already waiting. */
    void onRequestSent(long nowMs) {
        if (waitingSinceMs < 0) {
            waitingSinceMs = nowMs;
        }
    }

    /** Restarts the response timeout and resets the failure count. */
    void onResponseBytes(long nowMs) {
        waitingSinceMs = nowMs;
        consecutiveFailures = 0;
    }

    /** Stops the response timeout, as no request of this node is running any more. */
    void onIdle() {
        waitingSinceMs = NOT_WAITING;
    }

    /**
     * Records the end of an attempt, which may eject the engine.
     *
     * @param countsAsFailure whether the outcome counts against the engine
     */
    void onAttemptEnded(AttemptOutcome outcome, boolean countsAsFailure, long nowMs) {
        if (outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.ATTEMPT_TIMEOUT) {
            eject(nowMs);
        } else if (countsAsFailure) {
            consecutiveFailures++;
            if (consecutiveFailures >= EJECTION_FAILURE_THRESHOLD) {
                eject(nowMs);
            }
        } else if (outcome == AttemptOutcome.ANSWERED) {
            consecutiveFailures = 0;
        }
    }

    /**
     * Ejects the engine if it has sent no bytes for too long while requests wait.
     *
     * @param tokenMs expected prefill time per prompt token, in ms
     */
    void ejectIfUnresponsive(InFlightLoad load, double tokenMs, long nowMs) {
        if (!ejected
                && !load.isIdle()
                && waitingSinceMs >= 0
                && nowMs - waitingSinceMs > RESPONSE_TIMEOUT_MS + load.ownTokens() * tokenMs * 2) {
            eject(nowMs);
        }
    }

    private void eject(long nowMs) {
        if (!ejected) {
            ejected = true;
            probeIntervalMs = MIN_PROBE_INTERVAL_MS;
            nextProbeMs = nowMs;
            onEjected.run();
        }
    }

    boolean isProbeDue(long nowMs) {
        return ejected && nowMs >= nextProbeMs;
    }

    /** Schedules the next probe after the current interval and increases the interval. */
    void scheduleNextProbe(long nowMs) {
        nextProbeMs = nowMs + probeIntervalMs;
        probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, probeIntervalMs * 3 / 2);
    }

    /** Ends the ejection after a successful health probe. */
    void onProbeSucceeded(InFlightLoad load, long nowMs) {
        ejected = false;
        consecutiveFailures = 0;
        waitingSinceMs = load.isIdle() ? NOT_WAITING : nowMs;
    }
}
