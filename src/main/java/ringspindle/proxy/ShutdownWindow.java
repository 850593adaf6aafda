package ringspindle.proxy;

/**
 * The time window of a node's graceful shutdown, in ms of the monotonic clock.
 *
 * @param startMs when the node was told to shut down
 * @param endMs when it closes whatever is still open
 */
record ShutdownWindow(long startMs, long endMs) {
    /** Requests received within this time of the start may be cut off at the end of the window; later ones may not. */
    private static final int GRACE_MS = 2700;

    /** Returns true for a request that was received too late to be cut off and could take longer than the window. */
    boolean mayBeOutlivedBy(long receivedMs, long timeLimitMs) {
        return receivedMs - startMs >= GRACE_MS && receivedMs + timeLimitMs > endMs;
    }
}
