package ringspindle.controlplane;

import java.util.Collection;
import java.util.List;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** Whether a control node that leaves may end: the others must hold all that it holds. Pure. */
final class ShutdownHandover {

    /** What another control node last said of itself; {@code seq} is the newest committed state that it holds. */
    record Holder(NodeId node, long epoch, long seq, boolean blank) {}

    private ShutdownHandover() {}

    /**
     * True once the chain goes on without this node, and a majority of the voters, not counting it, follow that view and
     * hold all that is committed here.
     */
    static boolean done(NodeId me, View view, long committedSeq, Collection<Holder> holders) {
        if (view == null || view.voters().equals(List.of(me))) {
            // there is nothing to hand over, or nobody to take it
            return true;
        }
        if (view.chain().contains(me)) {
            return false;
        }
        long holding = holders.stream()
                .filter(h -> !h.node().equals(me) && view.voters().contains(h.node()))
                .filter(h -> !h.blank() && h.epoch() >= view.epoch() && h.seq() >= committedSeq)
                .map(Holder::node)
                .distinct()
                .count();
        return holding >= view.majority();
    }
}
