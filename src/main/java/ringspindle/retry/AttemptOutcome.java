package ringspindle.retry;

/** Outcome of an attempt. */
public enum AttemptOutcome {
    /** The engine sent a complete response. */
    ANSWERED(false, false),
    /** No connection was established, so nothing was sent. */
    NOT_SENT(true, true),
    /** The engine reported that it did not run the request. */
    NOT_RUN(true, false),
    /** A different engine owns the address; the request did not run. */
    MISDIRECTED(true, true),
    /** The connection broke or the response was malformed; the request may have run. */
    BROKEN(false, true),
    /** The timeout of the attempt expired; the request may have run. */
    ATTEMPT_TIMEOUT(false, true),
    /** The engine ran the request and reported a failure. */
    FAILED(false, true),
    /** The action ended before the attempt. */
    PARENT_ENDED(false, false);

    private final boolean notRun;
    private final boolean countsAsEngineFailure;

    AttemptOutcome(boolean notRun, boolean countsAsEngineFailure) {
        this.notRun = notRun;
        this.countsAsEngineFailure = countsAsEngineFailure;
    }

    /** Returns whether it is certain that the engine has not run the request and never will. */
    public boolean notRun() {
        return notRun;
    }

    /** Returns whether the outcome counts as a failure in the health of the engine. */
    public boolean countsAsEngineFailure() {
        return countsAsEngineFailure;
    }
}
