package ringspindle.retry;

/** One try at one engine: a child scope of its action. */
public interface Attempt {
    /** 1 for the first. */
    int number();

    /** Never later than the action's. */
    long deadlineMs();

    /** True if its own time ends before the action's; {@code attempt.timesOutAlone()}. */
    boolean timesOutAlone();

    /** How it ended, null while it runs. */
    Action.End end();

    /** Notes that the request went out, so that from here on it may run. */
    void sent();

    /** True once the request went out to the engine. */
    boolean wasSent();
}
