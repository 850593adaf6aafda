package ringspindle.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.NodeId;

/** Nodes that stay apart compare soon, and then ever more rarely. */
class RepairTriggerTest {
    private static final NodeId PEER = NodeId.of("10.0.0.1:7000");

    private final RepairTrigger trigger = new RepairTrigger();

    @Test
    void nodesThatStayApartCompareAtTheSecondHeartbeatAndThenMoreRarely() {
        List<Integer> due = new ArrayList<>();
        for (int heartbeat = 1; heartbeat <= 50; heartbeat++) {
            if (trigger.onHeartbeat(PEER, 1, 2)) {
                due.add(heartbeat);
            }
        }
        assertEquals(List.of(2, 4, 8, 16, 32, 48), due);
    }

    @Test
    void digestsThatChangeAreLeftToTheChangesThatSpread() {
        for (int heartbeat = 1; heartbeat < RepairTrigger.RETRY_HEARTBEATS; heartbeat++) {
            assertFalse(trigger.onHeartbeat(PEER, 2L * heartbeat, 2L * heartbeat + 1));
        }
        assertFalse(trigger.onHeartbeat(PEER, 7, 7));
        assertFalse(trigger.onHeartbeat(PEER, 7, 8), "counted anew");
    }
}
