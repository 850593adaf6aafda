package ringspindle.loadbalancing;

/**
 * Reachability of a region, by the reports of the control plane and by responses of its engines to this node. Confined
 * to the lock of {@link EngineTableLoadBalancer}.
 */
final class RegionState {
    /** How long a response shows that the region is reachable, even if the control plane has no report of it. */
    private static final int RESPONSE_VALID_MS = 700;

    private final String name;
    private boolean everReported;
    private boolean unreachable;
    private long lastResponseMs = Long.MIN_VALUE / 2;

    RegionState(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    /** Returns true if the region reported before but neither the control plane nor this node hears from it now. */
    boolean isUnreachable() {
        return unreachable;
    }

    /** Records that an engine of the region sent bytes to this node. */
    void onResponse(long nowMs) {
        lastResponseMs = nowMs;
    }

    /** Updates the reachability; {@code reported} says whether the latest aggregated load includes this region. */
    void update(boolean reported, long nowMs) {
        unreachable = !reported && everReported && nowMs - lastResponseMs > RESPONSE_VALID_MS;
        everReported |= reported;
    }
}
