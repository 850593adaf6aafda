package ringspindle.retry;

/** One attempt to serve a request at one engine. It cannot outlive its action. */
public interface Attempt {
    /** Returns the number of the attempt within its action, starting at 1. */
    int number();

    /** Returns the deadline in ms of the monotonic clock, never later than the action's. */
    long deadlineMs();

    /** Returns whether the timeout of the attempt expires before the action's deadline. */
    boolean hasOwnTimeout();

    /** Returns the outcome, null while the attempt runs. */
    AttemptOutcome outcome();

    /** Records that the request is being sent to the engine and may run from now on. */
    void markSent();

    /** Returns whether the request was sent to the engine. */
    boolean isSent();
}
