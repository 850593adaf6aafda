package ringspindle.consensus;

import java.util.Collection;
import ringspindle.protocol.NodeId;

/** Who is in touch with whom, as this node knows it at one moment. */
public interface Connectivity {
    /** True while both sides heard each other lately. */
    boolean connected(NodeId one, NodeId other);

    /** Control nodes that this node is in touch with. */
    Collection<NodeId> liveNodes();

    /** The failure domain of a node, so that a chain crosses few long links; equal names are near each other. */
    default String failureDomain(NodeId node) {
        return "";
    }

    /** True for a node, this one or another, that has said that it is about to end. */
    default boolean leaving(NodeId node) {
        return false;
    }

    /** True for a peer that lost its disk and has not relearned yet what was promised: it can neither vote nor hold state. */
    default boolean relearning(NodeId node) {
        return false;
    }
}
