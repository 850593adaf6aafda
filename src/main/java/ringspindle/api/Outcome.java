package ringspindle.api;

/** The one table of outcomes: what each means on the wire. */
public enum Outcome {
    /** Done as asked. */
    TAKEN(200, false),
    /** The configuration is invalid. */
    INVALID(400, false),
    /** The request line, head or body is no proper request. */
    MALFORMED(400, false),
    /** There is no such thing. */
    NO_SUCH(404, false),
    /** No mapping fits host and path. */
    NO_MAPPING(404, false),
    /** Another version is in place. */
    OTHER_VERSION(412, false),
    /** The body is over the limit. */
    TOO_LARGE(413, false),
    /** The order clashes with another under way. */
    CLASH(409, false),
    /** Nobody can tell now; ask again. */
    UNCLEAR(503, true),
    /** This node holds no confirmed configuration yet. */
    NOT_READY(503, true),
    /** No engine can take it now; it has not run. */
    NO_ROOM(503, true),
    /** No engine is there for it; it has not run. */
    NO_ENGINE(503, true),
    /** It has not run and there is no time left to run it. */
    NO_TIME(503, true),
    /** The node is leaving; it has not run. */
    LEAVING(503, true),
    /** It may have run; the engine broke off or answered out of order. */
    BROKEN(502, false),
    /** It may have run; there is no time left. */
    OVERDUE(504, false),
    /** What is kept has reached its bound; nothing was done. */
    STORE_FULL(503, true),
    /** It may be done later, or was: not as many replicas hold it yet as it takes. */
    UNCONFIRMED(504, false),
    /** Batch jobs are not accepted; no part of this one runs. */
    NO_BATCHES(503, true),
    /** A batch job is kept and will run. */
    ACCEPTED(202, false),
    /** More waits or comes than the caller may have; nothing of this is kept or runs. */
    OVER_QUOTA(429, true),
    /** There is no key that a tenant holds. */
    UNAUTHORIZED(401, false);

    private final int status;
    private final boolean notRun;

    Outcome(int status, boolean notRun) {
        this.status = status;
        this.notRun = notRun;
    }

    /** The HTTP status; {@code Outcome.OTHER_VERSION.status()} is 412. */
    public int status() {
        return status;
    }

    /** True where the answer promises that nothing ran, so that Retry-After goes with it; {@code NO_ROOM.notRun()}. */
    public boolean notRun() {
        return notRun;
    }
}
