package ringspindle.dataplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.LastServing;
import ringspindle.protocol.NodeId;

/** Who takes the requests of a region while one of its data nodes shuts down. */
enum RegionCoverage {
    /** Other nodes that do not shut down. */
    OTHERS_READY,
    /** All that are left shut down too, and another one stays for longer. */
    ANOTHER_STAYS,
    /** All that are left shut down too, and this node is the one that stays. */
    THIS_NODE_STAYS,
    /** No other node of the region is known. */
    NO_OTHERS;

    /**
     * What facts say.
     *
     * @param me the node that shuts down
     * @param region the data nodes of its region as last told, with or without itself
     */
    static RegionCoverage of(NodeId me, Collection<DataNodeFact> region) {
        List<NodeId> leaving = new ArrayList<>(List.of(me));
        boolean others = false;
        for (DataNodeFact node : region) {
            NodeId id = node.hello().node();
            if (id.equals(me)) {
                continue;
            }
            if (node.ready()) {
                return OTHERS_READY;
            }
            others = true;
            if (node.servesWhileLeaving()) {
                leaving.add(id);
            }
        }
        if (!others) {
            return NO_OTHERS;
        }
        boolean stays = LastServing.of(leaving).orElseThrow().equals(me);
        return stays ? THIS_NODE_STAYS : ANOTHER_STAYS;
    }
}
