package ringspindle.proxy;

/** How long a request has waited for capacity, and until when it may; all in ms of the steady clock. Not thread safe. */
final class CapacityWait {
    private boolean active;
    private long startMs;
    private long deadlineMs;

    /** Starts to wait until that time at most. */
    void begin(long nowMs, long deadlineMs) {
        active = true;
        this.startMs = nowMs;
        this.deadlineMs = deadlineMs;
    }

    /** An engine was found. */
    void end() {
        active = false;
    }

    boolean isActive() {
        return active;
    }

    /** True once the request is to be given up. */
    boolean isExpired(long nowMs) {
        return active && nowMs >= deadlineMs;
    }

    /** For how long it has waited so far, 0 if it does not wait. */
    long elapsedMs(long nowMs) {
        return active ? nowMs - startMs : 0;
    }
}
