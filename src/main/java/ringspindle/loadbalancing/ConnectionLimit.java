package ringspindle.loadbalancing;

/**
 * This node's share of the connections that one engine accepts from all nodes together.
 *
 * @param max how many this node may hold, at least 1
 * @param keepsIdle false where there are more nodes than connections to share out: each node then holds one only while it is in use,
 *     so that those that are idle elsewhere do not use up what the engine accepts
 */
public record ConnectionLimit(int max, boolean keepsIdle) {
    /** Part of an engine's connections that the nodes share out. */
    private static final double SHARED_PART = 0.9;

    /** The share of one of so many nodes in the connections that an engine accepts. */
    static ConnectionLimit shareOf(int accepted, int nodes) {
        int share = (int) (accepted * SHARED_PART / nodes);
        return new ConnectionLimit(Math.max(1, share), share >= 1);
    }
}
