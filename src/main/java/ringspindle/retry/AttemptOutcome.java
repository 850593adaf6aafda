package ringspindle.retry;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** A whole answer. */
    ANSWERED(false, false),
    /** No connection came up: nothing was sent. */
    NOT_SENT(true, true),
    /** The engine says that it did not run the request. */
    NOT_RUN(true, false),
    /** Another engine has the address; nothing ran. */
    MISDIRECTED(true, true),
    /** The connection broke, or the answer made no sense: the request may have run. */
    BROKEN(false, true),
    /** The attempt's own time is over: the request may have run. */
    ATTEMPT_TIMEOUT(false, true),
    /** The engine failed by its own word, after running. */
    FAILED(false, true),
    /** The action ended first. */
    PARENT_ENDED(false, false);

    private final boolean notRun;
    private final boolean countsAsEngineFailure;

    AttemptOutcome(boolean notRun, boolean countsAsEngineFailure) {
        this.notRun = notRun;
        this.countsAsEngineFailure = countsAsEngineFailure;
    }

    /** True where the engine has not run the request and never will. */
    public boolean notRun() {
        return notRun;
    }

    /** True where this counts as a failure in the engine's health. */
    public boolean countsAsEngineFailure() {
        return countsAsEngineFailure;
    }
}
