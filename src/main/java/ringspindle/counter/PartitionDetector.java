package ringspindle.counter;

/**
 * Says when so few peers are in touch that the copies asked for cannot be had. A node that has just started, or that stood
 * still, knows nothing of the time before: it waits until its peers had the time to be heard. Times are milliseconds of the
 * node's monotonic clock.
 */
final class PartitionDetector {
    /** Too few peers are in touch for so long before it counts as a partition. */
    static final long DELAY_MS = 300;
    /** After a start or a pause of its own a node judges by nothing that is sooner. */
    static final long SETTLE_MS = 3000;
    /** Two calls so far apart, the node itself stood still. */
    static final long STALL_MS = 450;

    private final int peersWanted;
    private long lastMs;
    private long enoughMs;
    private boolean isolated;

    /** Too few are fewer than {@code peersWanted}. */
    PartitionDetector(int peersWanted, long nowMs) {
        this.peersWanted = peersWanted;
        lastMs = nowMs;
        enoughMs = nowMs + SETTLE_MS;
    }

    /** So many peers are in touch now; called often. */
    void update(int peersInTouch, long nowMs) {
        if (nowMs - lastMs > STALL_MS) {
            enoughMs = nowMs + SETTLE_MS;
        }
        if (peersInTouch >= peersWanted) {
            enoughMs = Math.max(enoughMs, nowMs);
        }
        lastMs = nowMs;
        isolated = nowMs - enoughMs >= DELAY_MS;
    }

    /** True while the copies asked for cannot be had; false if the last update is so old that nothing is known. */
    boolean isolated(long nowMs) {
        return isolated && nowMs - lastMs <= STALL_MS;
    }
}
