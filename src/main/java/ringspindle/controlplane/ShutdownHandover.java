package ringspindle.controlplane;

import java.util.Collection;
import java.util.List;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** Whether a control node that leaves may end: the others must hold all that it holds. Pure. */
public final class ShutdownHandover {

    /**
     * What another control node last said of itself.
     *
     * @param epoch the epoch of the view that it follows
     * @param sequence the sequence number of the newest committed state that it holds
     * @param relearning it can neither vote nor hold state
     */
    public record PeerState(NodeId node, long epoch, long sequence, boolean relearning) {}

    private ShutdownHandover() {}

    /**
     * True once the chain goes on without this node, and a majority of the voters, not counting it, follow that view and
     * hold all that is committed here.
     */
    static boolean done(NodeId me, View view, long committedSeq, Collection<PeerState> holders) {
        if (view == null || view.voters().equals(List.of(me))) {
            // there is nothing to hand over, or nobody to take it
            return true;
        }
        if (view.chain().contains(me)) {
            return false;
        }
        long holding = holders.stream()
                .filter(holder -> !holder.node().equals(me) && view.voters().contains(holder.node()))
                .filter(holder ->
                        !holder.relearning() && holder.epoch() >= view.epoch() && holder.sequence() >= committedSeq)
                .map(PeerState::node)
                .distinct()
                .count();
        return holding >= view.majority();
    }
}
