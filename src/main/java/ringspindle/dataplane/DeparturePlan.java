package ringspindle.dataplane;

/**
 * When a data node that was told to end stops taking connections. Where others of its region take requests it waits until
 * clients have heard of it. Where all of them shut down at the same time, all but one hurry, so that they are back before that
 * one has to go. All times are in ms of the steady clock; not thread safe.
 *
 * <pre>{@code
 * DeparturePlan plan = new DeparturePlan(nowMs, nowMs + 7300);
 * while (!plan.isOver(clock.nowMs(), node.coverage())) { ... }
 * }</pre>
 */
final class DeparturePlan {
    /** Default: clients that were told this node's address still use it for so long. */
    static final int ADDRESSED_MS = 2500;
    /** Default: until peers, and by them the directory, know that this node leaves. */
    static final int ANNOUNCED_MS = 700;
    /** Default: once another node takes requests again, until clients have heard of it. */
    static final int RELIEVED_MS = 1500;
    /** Default: kept from the end for the requests that are under way by then. */
    static final int RESERVED_MS = 1500;

    private final long sinceMs;
    private final long endMs;
    /** Since when others take requests, as far as this node stayed for want of others before; 0 while they do not. */
    private long relievedMs;

    private boolean stayed;

    /**
     * A node that was told to end.
     *
     * @param sinceMs when it was told
     * @param endMs when it has to end whatever is under way
     */
    DeparturePlan(long sinceMs, long endMs) {
        this.sinceMs = sinceMs;
        this.endMs = endMs;
    }

    /** True once no more connections are to be taken; to be asked again and again, with what is known by then. */
    boolean isOver(long nowMs, RegionCoverage coverage) {
        long elapsedMs = nowMs - sinceMs;
        if (nowMs >= endMs - RESERVED_MS) {
            return true;
        }
        return switch (coverage) {
            case NO_OTHERS -> {
                stayed = true;
                yield elapsedMs >= ADDRESSED_MS;
            }
            case OTHERS_READY -> elapsedMs >= ADDRESSED_MS && isRelieved(nowMs);
            case ANOTHER_STAYS -> elapsedMs >= ANNOUNCED_MS;
            case THIS_NODE_STAYS -> {
                stayed = true;
                relievedMs = 0;
                yield false;
            }
        };
    }

    /** True once this node was the last of its region or its only one: clients that know of no other go on using it. */
    boolean hasStayed() {
        return stayed;
    }

    private boolean isRelieved(long nowMs) {
        if (!stayed) {
            return true;
        }
        if (relievedMs == 0) {
            relievedMs = nowMs;
        }
        return nowMs - relievedMs >= RELIEVED_MS;
    }
}
