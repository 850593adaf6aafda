package ringspindle.proxy;

import ringspindle.loadbalancing.LoadBalancer;

/** When an attempt was sent and what was heard of it, in ms of the steady clock. Guarded by its owner. */
final class AttemptTiming {
    private static final long NOT_YET = -1;

    private long sentMs = NOT_YET;
    private long firstByteMs = NOT_YET;
    private long lastActivityMs;

    AttemptTiming(long nowMs) {
        lastActivityMs = nowMs;
    }

    void onSent(long nowMs) {
        sentMs = nowMs;
        lastActivityMs = nowMs;
    }

    void onActivity(long nowMs) {
        lastActivityMs = nowMs;
    }

    /** Bytes of the body came; true if they are the first. */
    boolean onBodyBytes(long nowMs) {
        lastActivityMs = nowMs;
        boolean first = firstByteMs < 0;
        firstByteMs = first ? nowMs - sentMs : firstByteMs;
        return first;
    }

    /** The engine had closed the connection before: the time says nothing of the engine. */
    void onStaleConnection() {
        firstByteMs = LoadBalancer.STALE_CONNECTION;
    }

    boolean wasSent() {
        return sentMs != NOT_YET;
    }

    boolean wasSentWithin(int periodMs, long nowMs) {
        return nowMs - sentMs < periodMs;
    }

    /** From sending to the first byte of the body; negative if there was none, or it says nothing. */
    long firstByteMs() {
        return firstByteMs;
    }

    long lastActivityMs() {
        return lastActivityMs;
    }
}
