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

/** Assigns shards to storage nodes while this node is the head of the view. Called only by the tick. */
final class ShardTask {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int PERIOD_TICKS = 2;
    /** Time that a new head waits before it assigns shards, so that reports about storage nodes can arrive first. */
    private static final int OBSERVATION_MS = 1000;

    private final NodeId self;
    private final ReplicationDriver replication;
    private final StorageNodes storageNodes;
    private final int minCopies;
    private PlacementPlanner planner;
    /** Time at which this node became the head, negative while it is not. */
    private long headSinceMs = -1;
    /** Shards with a pending command. */
    private final Set<Integer> pendingShards = new HashSet<>();
    /** Shards without a leader, as last logged. */
    private Map<Integer, ShardCondition> loggedLeaderless = Map.of();

    /** Creates a task that keeps every entry on one disk more than may be lost simultaneously. */
    ShardTask(NodeId self, ReplicationDriver replication, StorageNodes storageNodes, int toleratedLosses) {
        this.self = self;
        this.replication = replication;
        this.storageNodes = storageNodes;
        minCopies = toleratedLosses + 1;
        planner = new PlacementPlanner(minCopies);
    }

    /**
     * Submits the assignments that are due.
     *
     * @param quorate true if this node has a quorum and is up to date
     */
    void tick(View view, boolean quorate, long ticks, long nowMs) {
        if (view == null || !quorate || !view.head().equals(self)) {
            headSinceMs = -1;
            return;
        }
        if (headSinceMs < 0) {
            headSinceMs = nowMs;
            planner = new PlacementPlanner(minCopies);
        }
        if (ticks % PERIOD_TICKS != 0) {
            return;
        }
        Map<NodeId, StorageNodeStatus> nodes = storageNodes.reachable(nowMs);
        Map<Integer, ShardAssignment> assignments = storageNodes.assignments();
        if (nodes.isEmpty() && assignments.isEmpty()) {
            return;
        }
        planner.observe(nodes, new ArrayList<>(assignments.values()), nowMs);
        if (nowMs - headSinceMs < OBSERVATION_MS) {
            return;
        }
        logConditions(assignments, nodes);
        for (int shard = 0; shard < ShardAssignment.SHARDS; shard++) {
            Optional<ShardAssignment> next = planner.next(shard, assignments.get(shard), nodes, nowMs);
            next.ifPresent(assignment -> submit(assignment, view.epoch()));
        }
    }

    /** Logs which shards have no leader that accepts calls, and why, whenever that changes. */
    private void logConditions(Map<Integer, ShardAssignment> assignments, Map<NodeId, StorageNodeStatus> nodes) {
        Map<Integer, ShardCondition> leaderless = ShardCondition.ofAll(assignments, nodes);
        leaderless.values().removeIf(condition -> condition == ShardCondition.LED);
        if (!leaderless.equals(loggedLeaderless)) {
            loggedLeaderless = leaderless;
            LOG.atInfo().log("shards without a leader: %s; reachable storage nodes: %s", leaderless, nodes.size());
        }
    }

    private void submit(ShardAssignment assignment, long viewEpoch) {
        int shard = assignment.shard();
        synchronized (pendingShards) {
            if (!pendingShards.add(shard)) {
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
                (outcome, reply) -> {
                    synchronized (pendingShards) {
                        pendingShards.remove(shard);
                    }
                });
    }

    private static List<NodeId> nodes(List<ShardMember> replicas) {
        return replicas.stream().map(ShardMember::node).toList();
    }
}
