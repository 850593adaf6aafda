package ringspindle.consensus;

import java.util.Collection;
import ringspindle.protocol.NodeId;

/** A snapshot of the connectivity between nodes, as this node knows it. */
public interface Connectivity {
    /** Whether both nodes have recently heard from each other. */
    boolean connected(NodeId one, NodeId other);

    /** The control nodes that this node is connected to. */
    Collection<NodeId> liveNodes();

    /** The failure domain of a node; nodes of equal domains are close, so that a chain can cross few long links. */
    default String failureDomain(NodeId node) {
        return "";
    }

    /** Whether the node, this one or another, has announced that it is shutting down. */
    default boolean leaving(NodeId node) {
        return false;
    }

    /** Whether the peer lost its disk and has not relearned its promises yet; it can neither vote nor hold state. */
    default boolean relearning(NodeId node) {
        return false;
    }
}
