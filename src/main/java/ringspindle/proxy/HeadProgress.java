package ringspindle.proxy;

/**
 * How far a client's connection is with the head of its next request: between requests, in the middle of a head, or past it.
 * Times are in ms of a steady clock and come with each call. Not thread safe.
 */
final class HeadProgress {
    private enum State {
        BETWEEN_REQUESTS,
        IN_HEAD,
        IN_REQUEST
    }

    private State state = State.BETWEEN_REQUESTS;
    private long beganMs;

    /** Bytes came. */
    void onBytes(long nowMs) {
        if (state == State.BETWEEN_REQUESTS) {
            state = State.IN_HEAD;
            beganMs = nowMs;
        }
    }

    /** The head is whole. */
    void onHead() {
        state = State.IN_REQUEST;
    }

    /** The answer is complete. */
    void onRequestEnded() {
        state = State.BETWEEN_REQUESTS;
    }

    /** The bytes that came were the rest of a request that is answered; no next one has begun. */
    void onNoHead() {
        if (state == State.IN_HEAD) {
            state = State.BETWEEN_REQUESTS;
        }
    }

    /** True in the middle of a head. */
    boolean isInHead() {
        return state == State.IN_HEAD;
    }

    /** How much longer the head may take, 0 or less if it has taken too long already. */
    long leftMs(long limitMs, long nowMs) {
        return beganMs + limitMs - nowMs;
    }

    /** The head gets its whole time from now: this node itself stood still, and may have bytes of it that it has not read. */
    void restart(long nowMs) {
        beganMs = nowMs;
    }
}
