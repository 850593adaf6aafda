package ringspindle.proxy;

import ringspindle.loadbalancing.LoadBalancer;

/** Records when an attempt was sent and last received data, in ms of the monotonic clock. Guarded by its owner. */
final class AttemptTiming {
    private static final long NOT_SET = -1;

    private long sentMs = NOT_SET;
    private long firstByteMs = NOT_SET;
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

    /** Records received bytes of the body; returns true if they are the first. */
    boolean onBodyBytes(long nowMs) {
        lastActivityMs = nowMs;
        boolean first = firstByteMs < 0;
        firstByteMs = first ? nowMs - sentMs : firstByteMs;
        return first;
    }

    /** Marks the latency as meaningless because the engine had already closed the connection. */
    void onStaleConnection() {
        firstByteMs = LoadBalancer.STALE_CONNECTION;
    }

    boolean wasSent() {
        return sentMs != NOT_SET;
    }

    boolean wasSentWithin(int periodMs, long nowMs) {
        return nowMs - sentMs < periodMs;
    }

    /** Returns the time from the send to the first byte of the body; negative if none came or it is meaningless. */
    long firstByteMs() {
        return firstByteMs;
    }

    long lastActivityMs() {
        return lastActivityMs;
    }
}
