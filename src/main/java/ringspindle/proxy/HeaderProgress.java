package ringspindle.proxy;

/**
 * Tracks whether a client's connection is between requests, receiving the headers of a request, or past them. Times are
 * in ms of a monotonic clock and are passed to each call. Not thread safe.
 */
final class HeaderProgress {
    private enum State {
        BETWEEN_REQUESTS,
        RECEIVING_HEADERS,
        PROCESSING_REQUEST
    }

    private State state = State.BETWEEN_REQUESTS;
    private long startMs;

    /** Records that bytes were received. */
    void onBytes(long nowMs) {
        if (state == State.BETWEEN_REQUESTS) {
            state = State.RECEIVING_HEADERS;
            startMs = nowMs;
        }
    }

    /** Records that the headers are complete. */
    void onHeadersComplete() {
        state = State.PROCESSING_REQUEST;
    }

    /** Records that the response is complete. */
    void onRequestEnded() {
        state = State.BETWEEN_REQUESTS;
    }

    /** Records that the received bytes were the rest of an already answered request, and no next request has begun. */
    void onNoHeaders() {
        if (state == State.RECEIVING_HEADERS) {
            state = State.BETWEEN_REQUESTS;
        }
    }

    /** Returns true while headers are being received. */
    boolean isReceivingHeaders() {
        return state == State.RECEIVING_HEADERS;
    }

    /** Returns how much longer the headers may take, 0 or less if they are overdue. */
    long remainingMs(long limitMs, long nowMs) {
        return startMs + limitMs - nowMs;
    }

    /** Restarts the time limit after a pause of this process, which may not have read all bytes that had arrived. */
    void restart(long nowMs) {
        startMs = nowMs;
    }
}
