package ringspindle.loadbalancing;

import ringspindle.retry.AttemptOutcome;

/**
 * Whether one engine is ejected, and when to ask it whether it is back.
 *
 * <p>An engine is ejected when it is silent while requests wait, when no connection to it comes up, when an attempt runs
 * into its time limit, or after {@value #EJECTING_FAILURES} failures in a row. It gets no requests until a health probe
 * succeeds; probes are spaced by a gap that grows from {@value #FIRST_PROBE_GAP_MS} to {@value #MAX_PROBE_GAP_MS} ms.
 *
 * <p>Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class OutlierEjection {
    private static final int EJECTING_FAILURES = 3;
    /** Silence that ejects, in ms, beyond the time that the engine may need for the tokens it was given. */
    private static final int SILENCE_MS = 900;

    private static final int FIRST_PROBE_GAP_MS = 400;
    private static final int MAX_PROBE_GAP_MS = 2000;
    private static final long NOT_WAITING = -1;

    private final Runnable onEjected;
    private boolean ejected;
    private int consecutiveFailures;
    private long waitingSinceMs = NOT_WAITING;
    private long nextProbeMs;
    private long probeGapMs;

    /** The ejection of one engine; each time that it is ejected, the given action runs. */
    OutlierEjection(Runnable onEjected) {
        this.onEjected = onEjected;
    }

    boolean isEjected() {
        return ejected;
    }

    /** A request went out: silence counts from now, unless something waits already. */
    void onRequestSent(long nowMs) {
        if (waitingSinceMs < 0) {
            waitingSinceMs = nowMs;
        }
    }

    /** Bytes came: silence counts from now. */
    void onResponseBytes(long nowMs) {
        waitingSinceMs = nowMs;
        consecutiveFailures = 0;
    }

    /** Nothing of this node runs there any more. */
    void onIdle() {
        waitingSinceMs = NOT_WAITING;
    }

    /**
     * An attempt ended.
     *
     * @param countsAsFailure whether the outcome says something against the engine
     */
    void onAttemptEnded(AttemptOutcome outcome, boolean countsAsFailure, long nowMs) {
        if (outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.ATTEMPT_TIMEOUT) {
            eject(nowMs);
        } else if (countsAsFailure) {
            consecutiveFailures++;
            if (consecutiveFailures >= EJECTING_FAILURES) {
                eject(nowMs);
            }
        } else if (outcome == AttemptOutcome.ANSWERED) {
            consecutiveFailures = 0;
        }
    }

    /**
     * Ejects an engine that is silent while requests wait.
     *
     * @param tokenMs expected time for a prompt token, in ms
     */
    void checkSilence(InFlightLoad load, double tokenMs, long nowMs) {
        if (!ejected
                && !load.isIdle()
                && waitingSinceMs >= 0
                && nowMs - waitingSinceMs > SILENCE_MS + load.ownTokens() * tokenMs * 2) {
            eject(nowMs);
        }
    }

    private void eject(long nowMs) {
        if (!ejected) {
            ejected = true;
            probeGapMs = FIRST_PROBE_GAP_MS;
            nextProbeMs = nowMs;
            onEjected.run();
        }
    }

    boolean isProbeDue(long nowMs) {
        return ejected && nowMs >= nextProbeMs;
    }

    /** The next probe is due after the present gap, and the gap grows. */
    void scheduleNextProbe(long nowMs) {
        nextProbeMs = nowMs + probeGapMs;
        probeGapMs = Math.min(MAX_PROBE_GAP_MS, probeGapMs * 3 / 2);
    }

    /** The engine answered a health probe: it is no longer ejected. */
    void onProbeSucceeded(InFlightLoad load, long nowMs) {
        ejected = false;
        consecutiveFailures = 0;
        waitingSinceMs = load.isIdle() ? NOT_WAITING : nowMs;
    }
}
