package ringspindle.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import ringspindle.protocol.NodeId;

/**
 * Which data node goes on taking requests the longest where all nodes of a region shut down: somebody has to until the first
 * is back. Pure.
 */
public final class LastServing {
    private LastServing() {}

    /**
     * The one with the highest identity, so that all who know of the same nodes choose the same one without asking each other;
     * {@code LastServing.of(leaving).map(NodeId::toString)}. Empty if there is none.
     */
    public static Optional<NodeId> of(Collection<NodeId> leaving) {
        return leaving.stream().max(Comparator.naturalOrder());
    }
}
