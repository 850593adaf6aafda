package ringspindle.proxy;

/** How long a request has waited for capacity, and until when it may; all in ms of the steady clock. Not thread safe. */
final class CapacityWait {
    private boolean underWay;
    private long sinceMs;
    private long untilMs;

    /** Starts to wait until that time at most. */
    void begin(long nowMs, long untilMs) {
        underWay = true;
        this.sinceMs = nowMs;
        this.untilMs = untilMs;
    }

    /** An engine was found. */
    void end() {
        underWay = false;
    }

    boolean isUnderWay() {
        return underWay;
    }

    /** True once the request is to be given up. */
    boolean isOver(long nowMs) {
        return underWay && nowMs >= untilMs;
    }

    /** For how long it has waited so far, 0 if it does not wait. */
    long elapsedMs(long nowMs) {
        return underWay ? nowMs - sinceMs : 0;
    }
}
