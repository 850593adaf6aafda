package ringspindle.shard;

import java.util.List;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ReplicaStanding;
import ringspindle.protocol.ShardMessage.ReplicaRow;

/**
 * A storage node as control nodes know it.
 *
 * @param store the identity of its disk
 * @param boot how often a process has started on the disk
 * @param leaving it shuts down, or is to be emptied: it is given nothing new
 * @param reported what it says of the replicas of shards that it leads
 */
public record StorageNodeStatus(
        NodeId node, String zone, long store, long boot, boolean leaving, List<ReplicaRow> reported) {
    /** The replica that this node can be. */
    ShardMember member() {
        return new ShardMember(node, store);
    }

    /** True if it reports, as leader under that very assignment, that standing of a replica. */
    boolean reports(ShardAssignment assignment, NodeId replica, ReplicaStanding standing) {
        return reported.stream()
                .anyMatch(row -> row.shard() == assignment.shard()
                        && row.epoch() == assignment.epoch()
                        && row.node().equals(replica)
                        && row.standing() == standing);
    }
}
