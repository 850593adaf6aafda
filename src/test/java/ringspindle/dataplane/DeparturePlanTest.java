package ringspindle.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import ringspindle.membership.DataNodeFact;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** Seeded histories of regions whose data nodes are all told to end within a second and a half. */
class DeparturePlanTest {
    private static final int HISTORIES = 400;
    private static final int STEP_MS = 50;
    private static final int GRACE_MS = 7300;
    private static final int TOLD_WITHIN_MS = 1500;
    private static final int LENGTH_MS = 20_000;
    private static final NodeFlags LEAVING = NodeFlags.LEAVING.and(NodeFlags.STILL_SERVING);

    /** A data node that is told to end once, and comes back some time after it has ended. */
    private static final class Node {
        private final NodeId id;
        private final long toldMs;
        private final long restartMs;
        private final long heardAfterMs;
        private DeparturePlan plan;
        private long goneMs = Long.MAX_VALUE;
        /** What it says from when on. */
        private final List<NodeFlags> said = new ArrayList<>(List.of(NodeFlags.READY));

        private final List<Long> saidMs = new ArrayList<>(List.of(0L));

        Node(int number, Random random) {
            id = NodeId.of("10.1.0." + number + ":7000");
            toldMs = 1000L + random.nextInt(TOLD_WITHIN_MS);
            restartMs = 800L + random.nextInt(900);
            heardAfterMs = 100L + random.nextInt(300);
        }

        void say(NodeFlags flags, long nowMs) {
            said.add(flags);
            saidMs.add(nowMs);
        }

        boolean takesRequests(long nowMs) {
            return nowMs < goneMs || nowMs >= goneMs + restartMs;
        }

        DataNodeFact asHeard(long nowMs) {
            int newest = said.size() - 1;
            while (saidMs.get(newest) > Math.max(0, nowMs - heardAfterMs)) {
                newest--;
            }
            Hello hello = new Hello(id, 1, NodeKind.DATA, 0, "d", "z", "r");
            return new DataNodeFact(said.get(newest), id, hello);
        }

        void step(List<Node> region, long nowMs) {
            if (plan == null && nowMs >= toldMs) {
                plan = new DeparturePlan(nowMs, nowMs + GRACE_MS);
                say(LEAVING, nowMs);
            }
            if (plan != null && goneMs == Long.MAX_VALUE) {
                List<DataNodeFact> known =
                        region.stream().map(node -> node.asHeard(nowMs)).toList();
                if (plan.isOver(nowMs, RegionCoverage.of(id, known))) {
                    goneMs = nowMs;
                    say(NodeFlags.NONE, nowMs);
                    say(NodeFlags.READY, nowMs + restartMs);
                }
            }
        }
    }

    @Test
    void someNodeTakesRequestsAtEachMoment() {
        for (long seed = 0; seed < HISTORIES; seed++) {
            Random random = new Random(seed);
            List<Node> region = new ArrayList<>();
            int nodes = 2 + random.nextInt(6);
            for (int number = 1; number <= nodes; number++) {
                region.add(new Node(number, random));
            }
            for (long nowMs = 0; nowMs < LENGTH_MS; nowMs += STEP_MS) {
                long now = nowMs;
                region.forEach(node -> node.step(region, now));
                assertTrue(
                        region.stream().anyMatch(node -> node.takesRequests(now)),
                        "seed " + seed + ": nobody at " + nowMs);
            }
            assertTrue(region.stream().allMatch(node -> node.goneMs < node.toldMs + GRACE_MS), "seed " + seed);
        }
    }

    @Test
    void nodeWhoseRegionServesOnWaitsUntilClientsHaveHeardOfItAndALoneOneNoLonger() {
        for (RegionCoverage coverage : List.of(RegionCoverage.OTHERS_READY, RegionCoverage.NO_OTHERS)) {
            DeparturePlan plan = new DeparturePlan(1000, 1000 + GRACE_MS);
            assertEquals(false, plan.isOver(999 + DeparturePlan.ADDRESSED_MS, coverage));
            assertTrue(plan.isOver(1000 + DeparturePlan.ADDRESSED_MS, coverage));
        }
    }

    @Test
    void lastNodeStaysUntilClientsHaveHeardOfAnotherButLeavesTimeForWhatIsUnderWay() {
        DeparturePlan plan = new DeparturePlan(0, GRACE_MS);
        assertEquals(false, plan.isOver(4000, RegionCoverage.THIS_NODE_STAYS));
        assertEquals(false, plan.isOver(4100, RegionCoverage.OTHERS_READY));
        assertTrue(plan.isOver(4100 + DeparturePlan.RELIEVED_MS, RegionCoverage.OTHERS_READY));
        assertTrue(new DeparturePlan(0, GRACE_MS)
                .isOver(GRACE_MS - DeparturePlan.RESERVED_MS, RegionCoverage.THIS_NODE_STAYS));
    }
}
