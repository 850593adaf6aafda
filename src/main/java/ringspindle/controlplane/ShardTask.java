package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ringspindle.logging.LogField;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;
import ringspindle.replication.CallKind;
import ringspindle.replication.ShardCommands;
import ringspindle.shard.PlacementPlanner;
import ringspindle.shard.ShardAssignment;
import ringspindle.shard.ShardCondition;
import ringspindle.shard.ShardMember;
import ringspindle.shard.StorageNodeStatus;

/** Has the head of the view assign shards to storage nodes. Called by the tick alone. */
final class ShardTask {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int PERIOD_TICKS = 2;
    /** A head looks for so long before it acts: what others tell of storage nodes has to come in first. */
    private static final int LOOK_FIRST_MS = 1000;

    private final NodeId me;
    private final ReplicationDriver replication;
    private final StorageNodes storageNodes;
    private final int copiesMin;
    private PlacementPlanner planner;
    /** Since when this node has led, below 0 while it does not. */
    private long leadsSinceMs = -1;
    /** Shards with an order under way. */
    private final Set<Integer> ordered = new HashSet<>();
    /** Shards without a leader, as they were logged last. */
    private Map<Integer, ShardCondition> loggedLeaderless = Map.of();

    /** Assigns shards so that an entry is on one disk more than may be lost at once. */
    ShardTask(NodeId me, ReplicationDriver replication, StorageNodes storageNodes, int lossesBorne) {
        this.me = me;
        this.replication = replication;
        this.storageNodes = storageNodes;
        copiesMin = lossesBorne + 1;
        planner = new PlacementPlanner(copiesMin);
    }

    /**
     * Orders the assignments that are due.
     *
     * @param quorate this node is up to date
     */
    void tick(View view, boolean quorate, long ticks, long nowMs) {
        if (view == null || !quorate || !view.head().equals(me)) {
            leadsSinceMs = -1;
            return;
        }
        if (leadsSinceMs < 0) {
            leadsSinceMs = nowMs;
            planner = new PlacementPlanner(copiesMin);
        }
        if (ticks % PERIOD_TICKS != 0) {
            return;
        }
        Map<NodeId, StorageNodeStatus> nodes = storageNodes.inTouch(nowMs);
        Map<Integer, ShardAssignment> assignments = storageNodes.assignments();
        if (nodes.isEmpty() && assignments.isEmpty()) {
            return;
        }
        planner.observe(nodes, new ArrayList<>(assignments.values()), nowMs);
        if (nowMs - leadsSinceMs < LOOK_FIRST_MS) {
            return;
        }
        logConditions(assignments, nodes);
        for (int shard = 0; shard < ShardAssignment.SHARDS; shard++) {
            Optional<ShardAssignment> next = planner.next(shard, assignments.get(shard), nodes, nowMs);
            next.ifPresent(assignment -> order(assignment, view.epoch()));
        }
    }

    /** Says which shards have no leader that takes calls, and why, whenever that changes. */
    private void logConditions(Map<Integer, ShardAssignment> assignments, Map<NodeId, StorageNodeStatus> nodes) {
        Map<Integer, ShardCondition> leaderless = ShardCondition.ofAll(assignments, nodes);
        leaderless.values().removeIf(condition -> condition == ShardCondition.LED);
        if (!leaderless.equals(loggedLeaderless)) {
            loggedLeaderless = leaderless;
            LOG.atInfo().log("shards without a leader: %s; %s storage nodes in touch", leaderless, nodes.size());
        }
    }

    private void order(ShardAssignment assignment, long viewEpoch) {
        int shard = assignment.shard();
        synchronized (ordered) {
            if (!ordered.add(shard)) {
                return;
            }
        }
        LOG.atInfo()
                .with(LogField.EPOCH, assignment.epoch())
                .log(
                        "shard %s: leader %s, members %s, learners %s",
                        shard, assignment.leader().node(), nodes(assignment.members()), nodes(assignment.learners()));
        replication.call(
                CallKind.SHARD,
                0,
                Integer.toString(shard),
                ShardCommands.assignCommand(assignment, viewEpoch),
                (outcome, body) -> {
                    synchronized (ordered) {
                        ordered.remove(shard);
                    }
                });
    }

    private static List<NodeId> nodes(List<ShardMember> replicas) {
        return replicas.stream().map(ShardMember::node).toList();
    }
}
