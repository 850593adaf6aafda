package ringspindle.shard;

import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ReplicaStanding;

/** Whether a shard has a leader that takes calls, and if not, why. */
public enum ShardCondition {
    /** Its leader says that it leads and that its disk keeps up. */
    LED,
    /** It was never assigned: too few storage nodes are in touch yet. */
    NOT_ASSIGNED,
    /** The node that is to lead it is out of touch. */
    LEADER_OUT_OF_TOUCH,
    /** The node that is to lead it has another disk than the one that it was assigned with. */
    LEADER_HAS_OTHER_DISK,
    /** The process that was to lead it is gone; another one runs on its disk. */
    LEADER_RESTARTED,
    /** Its leader is in touch and has not said that it leads: replicas have not answered, or its disk hangs. */
    LEADER_DOES_NOT_LEAD;

    /**
     * The condition of every shard, by shard.
     *
     * @param assignments those there are, by shard
     * @param nodes storage nodes in touch
     */
    public static Map<Integer, ShardCondition> ofAll(
            Map<Integer, ShardAssignment> assignments, Map<NodeId, StorageNodeStatus> nodes) {
        Map<Integer, ShardCondition> conditions = new TreeMap<>();
        for (int shard = 0; shard < ShardAssignment.SHARDS; shard++) {
            conditions.put(shard, of(assignments.get(shard), nodes));
        }
        return conditions;
    }

    /**
     * The condition of a shard.
     *
     * @param assignment null if there is none
     * @param nodes storage nodes in touch
     */
    public static ShardCondition of(ShardAssignment assignment, Map<NodeId, StorageNodeStatus> nodes) {
        if (assignment == null) {
            return NOT_ASSIGNED;
        }
        StorageNodeStatus leader = nodes.get(assignment.leader().node());
        if (leader == null) {
            return LEADER_OUT_OF_TOUCH;
        }
        if (leader.store() != assignment.leader().store()) {
            return LEADER_HAS_OTHER_DISK;
        }
        if (leader.boot() != assignment.leaderBoot()) {
            return LEADER_RESTARTED;
        }
        boolean leads = leader.reports(assignment, leader.node(), ReplicaStanding.LEADING);
        return leads ? LED : LEADER_DOES_NOT_LEAD;
    }
}
