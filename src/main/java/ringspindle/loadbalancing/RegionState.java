package ringspindle.loadbalancing;

/**
 * A region as this node knows it: whether control nodes hear of it, and whether its engines answer here. Confined to the
 * lock of {@link EngineTableLoadBalancer}.
 */
final class RegionState {
    /** For so long an answer shows that the region can be reached, whatever control nodes hear of it. */
    private static final int ANSWER_VALID_MS = 700;

    private final String name;
    private boolean everReported;
    private boolean unreachable;
    private long answeredMs = Long.MIN_VALUE / 2;

    RegionState(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    /** True for a region of which nothing is heard any more, neither by control nodes nor here. */
    boolean isUnreachable() {
        return unreachable;
    }

    /** An engine of the region sent bytes to this node. */
    void onAnswer(long nowMs) {
        answeredMs = nowMs;
    }

    /** The control plane summed load again, this region's with it or not. */
    void update(boolean reported, long nowMs) {
        unreachable = !reported && everReported && nowMs - answeredMs > ANSWER_VALID_MS;
        everReported |= reported;
    }
}
