package ringspindle.controlplane;

import java.util.Collection;
import java.util.List;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** Decides whether a leaving control node may stop: the other nodes must hold everything that it holds. Stateless. */
public final class ShutdownHandover {

    /**
     * The state that another control node last reported.
     *
     * @param epoch the epoch of the view that it follows
     * @param sequence the sequence number of the latest committed state that it holds
     * @param relearning true if it can neither vote nor hold state
     */
    public record PeerState(NodeId node, long epoch, long sequence, boolean relearning) {}

    private ShutdownHandover() {}

    /**
     * Returns true once the chain does not contain this node and a majority of the voters, not counting this node,
     * follow that view and hold everything that is committed here. Also true if there is nothing to hand over or no
     * other voter.
     */
    static boolean isComplete(NodeId self, View view, long committedSequence, Collection<PeerState> peers) {
        if (view == null || view.voters().equals(List.of(self))) {
            // nothing to hand over, or no other node to hand over to
            return true;
        }
        if (view.chain().contains(self)) {
            return false;
        }
        long upToDatePeers = peers.stream()
                .filter(peer -> !peer.node().equals(self) && view.voters().contains(peer.node()))
                .filter(peer ->
                        !peer.relearning() && peer.epoch() >= view.epoch() && peer.sequence() >= committedSequence)
                .map(PeerState::node)
                .distinct()
                .count();
        return upToDatePeers >= view.majority();
    }
}
