package ringspindle.proxy;

/** A request's wait for capacity and its deadline, in ms of the monotonic clock. Not thread safe. */
final class CapacityWait {
    private boolean active;
    private long startMs;
    private long deadlineMs;

    /** Starts a wait that expires at the deadline. */
    void begin(long nowMs, long deadlineMs) {
        active = true;
        this.startMs = nowMs;
        this.deadlineMs = deadlineMs;
    }

    /** Ends the wait because an engine was found. */
    void end() {
        active = false;
    }

    boolean isActive() {
        return active;
    }

    /** Returns true once the wait has expired and the request is to be rejected or failed. */
    boolean isExpired(long nowMs) {
        return active && nowMs >= deadlineMs;
    }

    /** Returns how long the request has waited so far, 0 if it does not wait. */
    long elapsedMs(long nowMs) {
        return active ? nowMs - startMs : 0;
    }
}
