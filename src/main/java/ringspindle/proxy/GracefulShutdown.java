package ringspindle.proxy;

/**
 * That the node leaves.
 *
 * @param sinceMs when it was told to, on the steady clock
 * @param endMs when it closes whatever is still open
 */
record GracefulShutdown(long sinceMs, long endMs) {
    /** Requests sent within this of the order to leave may be cut by the node's end; later ones may not. */
    private static final int GRACE_MS = 2700;

    /** True for a request that came too late to be cut by the node's end and may last longer than the node. */
    boolean mayBeOutlivedBy(long receivedMs, long timeLimitMs) {
        return receivedMs - sinceMs >= GRACE_MS && receivedMs + timeLimitMs > endMs;
    }
}
