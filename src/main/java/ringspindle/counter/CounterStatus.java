package ringspindle.counter;

import java.util.List;
import ringspindle.protocol.NodeId;

/**
 * How the counters of one node are, for operators.
 *
 * @param joined true once this node may tell totals
 * @param isolated true while too few peers are in touch for the copies asked for
 * @param instances ids that are remembered
 * @param unconfirmed calls that wait for copies
 * @param increments increments that are held one by one
 * @param peers what the peers lack
 */
public record CounterStatus(
        boolean joined, boolean isolated, int instances, int unconfirmed, long increments, List<Peer> peers) {
    /**
     * One peer.
     *
     * @param inTouch heartbeats go both ways
     * @param lacks increments that this node holds and the peer has not said to hold
     */
    public record Peer(NodeId node, boolean inTouch, long lacks) {}

    /** Increments that at least one peer has not said to hold. */
    public long notEverywhere() {
        return peers.stream().mapToLong(Peer::lacks).max().orElse(0);
    }
}
