package ringspindle.counter;

import java.util.Map;
import java.util.Set;
import ringspindle.protocol.NodeId;

/**
 * Whether this node may tell totals. After a start it first takes what its peers hold; a node that lost its disk tells
 * nothing before it has met one.
 */
final class JoinProgress {
    /** A node with a disk waits for peers no longer: a partition may keep them away. */
    static final long PEERS_WAIT_MS = 3000;

    private final boolean hasData;
    private final long startedMs;
    private boolean joined;

    /**
     * A node that has just started.
     *
     * @param joined true on the first start of a system
     * @param hasData true if records were found on its disk
     */
    JoinProgress(boolean joined, boolean hasData, long startedMs) {
        this.joined = joined;
        this.hasData = hasData;
        this.startedMs = startedMs;
    }

    /** True once totals may be told. */
    boolean joined() {
        return joined;
    }

    /** Looks at what peers in touch hold and this node lacks; true if it has just joined. */
    boolean update(Set<NodeId> linked, Map<NodeId, PeerProgress> peers, CounterState state, long nowMs) {
        if (joined) {
            return false;
        }
        boolean met = false;
        boolean lacks = false;
        for (NodeId node : linked) {
            PeerProgress peer = peers.get(node);
            if (peer != null && peer.told()) {
                met |= hasData || peer.joined();
                lacks |= !state.covers(peer.full());
            } else if (peer != null && peer.introduced()) {
                lacks = true;
            }
        }
        boolean waitedForPeers = nowMs - startedMs >= PEERS_WAIT_MS;
        joined = met && !lacks || waitedForPeers && hasData;
        return joined;
    }
}
