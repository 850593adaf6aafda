package ringspindle.loadbalancing;

/**
 * This node's share of the connections that one engine accepts from all nodes.
 *
 * @param max maximum number of connections from this node, at least 1
 * @param keepsIdle whether idle connections may stay open; false if there are more nodes than connections to share, so
 *     that idle connections of some nodes do not exhaust the engine's limit
 */
public record ConnectionLimit(int max, boolean keepsIdle) {
    /** Fraction of an engine's connections that is divided among the nodes. */
    private static final double SHARED_FRACTION = 0.9;

    /** Returns the share of one node in the connections that an engine accepts. */
    static ConnectionLimit shareOf(int accepted, int nodes) {
        int share = (int) (accepted * SHARED_FRACTION / nodes);
        return new ConnectionLimit(Math.max(1, share), share >= 1);
    }
}
