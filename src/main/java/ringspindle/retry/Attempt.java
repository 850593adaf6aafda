package ringspindle.retry;

/** One try at one engine: a child scope of its action, which it cannot outlive. */
public interface Attempt {
    /** 1 for the first of its action. */
    int number();

    /** When it is over at the latest, in ms of the steady clock; never later than the action's deadline. */
    long deadlineMs();

    /** True if its own time ends before the action's. */
    boolean hasOwnTimeout();

    /** How it ended, null while it runs. */
    AttemptOutcome outcome();

    /** Notes that the request goes out to the engine, so that from here on it may run. */
    void markSent();

    /** True once the request went out to the engine. */
    boolean isSent();
}
