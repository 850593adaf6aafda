package ringspindle.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ReplicaStanding;
import ringspindle.protocol.ShardMessage.ReplicaRow;

/** A leader in touch that does not say that it leads is replaced, ever more rarely; one that leads stays. */
class LeaderWatchTest {
    private static final int STEP_MS = 200;

    private final PlacementPlanner planner = new PlacementPlanner(3);
    private ShardAssignment assignment;
    private long nowMs;
    private int changes;
    /** For how long an order for a new assignment is under way. */
    private int orderMs;
    /** Orders that come to nothing. */
    private int ordersLost;

    private ShardAssignment ordered;
    private long orderedMs;

    private static NodeId node(int number) {
        return NodeId.of("10.0.0." + number + ":7002");
    }

    /** Four storage nodes in touch; the present leader says that it leads, or nothing. */
    private Map<NodeId, StorageNodeStatus> nodes(boolean leaderSpeaks) {
        Map<NodeId, StorageNodeStatus> nodes = new TreeMap<>();
        for (int number = 1; number <= 4; number++) {
            boolean speaks = leaderSpeaks
                    && assignment != null
                    && assignment.leader().node().equals(node(number));
            List<ReplicaRow> rows = speaks
                    ? List.of(new ReplicaRow(0, assignment.epoch(), node(number), ReplicaStanding.LEADING.code()))
                    : List.of();
            nodes.put(node(number), new StorageNodeStatus(node(number), "z" + number, number, 1, false, rows));
        }
        return nodes;
    }

    private void run(int forMs, boolean leaderSpeaks) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs; nowMs += STEP_MS) {
            Map<NodeId, StorageNodeStatus> nodes = nodes(leaderSpeaks);
            planner.observe(nodes, assignment == null ? List.of() : List.of(assignment), nowMs);
            planner.next(0, assignment, nodes, nowMs).ifPresent(this::order);
            settle();
        }
    }

    private void order(ShardAssignment next) {
        if (ordered == null) {
            ordered = next;
            orderedMs = nowMs;
        }
    }

    private void settle() {
        if (ordered == null || nowMs - orderedMs < orderMs) {
            return;
        }
        if (ordersLost > 0) {
            ordersLost--;
        } else {
            assignment = ordered;
            changes++;
        }
        ordered = null;
    }

    @Test
    void aLeaderThatLeadsStays() {
        run(60_000, true);
        assertEquals(1, assignment.epoch());
    }

    @Test
    void aSilentLeaderIsReplacedByAnotherMemberEverMoreRarely() {
        run(4000, true);
        NodeId first = assignment.leader().node();
        run(3000, false);
        assertEquals(2, assignment.epoch());
        assertFalse(assignment.leader().node().equals(first));
        changes = 0;
        run(120_000, false);
        // 5, 10 and then every 20 s
        assertTrue(changes >= 6 && changes <= 8, changes + " changes");
    }

    /** However long an order takes, and if it fails, the next leader is given twice the time and not more. */
    @Test
    void anOrderThatTakesASecondOrFailsCountsOnce() {
        run(4000, true);
        orderMs = 1000;
        ordersLost = 2;
        run(8000, false);
        assertEquals(2, assignment.epoch(), "replaced after 2.5 s and three orders");
        run(8000, false);
        assertEquals(3, assignment.epoch(), "and again after 5 s");
    }

    @Test
    void afterALeaderHasLedForLongThePatienceIsShortAgain() {
        run(4000, true);
        run(60_000, false);
        run(15_000, true);
        long epoch = assignment.epoch();
        run(3000, false);
        assertEquals(epoch + 1, assignment.epoch());
    }

    @Test
    void theConditionSaysWhyThereIsNoLeader() {
        run(4000, true);
        assertEquals(ShardCondition.LED, ShardCondition.of(assignment, nodes(true)));
        assertEquals(ShardCondition.LEADER_DOES_NOT_LEAD, ShardCondition.of(assignment, nodes(false)));
        assertEquals(ShardCondition.NOT_ASSIGNED, ShardCondition.of(null, nodes(true)));
        NodeId leader = assignment.leader().node();
        Map<NodeId, StorageNodeStatus> without = new HashMap<>(nodes(true));
        without.remove(leader);
        assertEquals(ShardCondition.LEADER_OUT_OF_TOUCH, ShardCondition.of(assignment, without));
        without.put(leader, new StorageNodeStatus(leader, "z", 99, 1, false, List.of()));
        assertEquals(ShardCondition.LEADER_HAS_OTHER_DISK, ShardCondition.of(assignment, without));
        without.put(
                leader, new StorageNodeStatus(leader, "z", assignment.leader().store(), 2, false, List.of()));
        assertEquals(ShardCondition.LEADER_RESTARTED, ShardCondition.of(assignment, without));
    }
}
