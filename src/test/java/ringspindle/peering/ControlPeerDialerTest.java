package ringspindle.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.peering.ControlPeerDialer.Roster;
import ringspindle.protocol.NodeId;

/** Whom a control node dials: only settled voters wait for lower addresses, and nobody is forgotten at once. */
class ControlPeerDialerTest {
    private static final NodeId LOW = NodeId.of("10.0.0.1:7000");
    private static final NodeId SELF = NodeId.of("10.0.0.2:7000");
    private static final NodeId HIGH = NodeId.of("10.0.0.3:7000");

    private final ControlPeerDialer dialer = new ControlPeerDialer(SELF);

    private List<NodeId> due(Roster roster, long nowMs) {
        return dialer.due(roster, node -> false, nowMs);
    }

    @Test
    void aSettledVoterWaitsForLowerAddresses() {
        List<NodeId> all = List.of(LOW, SELF, HIGH);
        assertEquals(List.of(HIGH), due(new Roster(all, all, List.of(), true), 0));
        assertEquals(List.of(LOW, HIGH), due(new Roster(all, all, List.of(), false), 0), "out of touch");
        assertEquals(List.of(LOW, HIGH), due(new Roster(all, List.of(LOW, HIGH), List.of(), true), 0), "no voter");
        assertEquals(List.of(), dialer.due(new Roster(all, all, List.of(), false), node -> true, 0), "connected");
    }

    @Test
    void aNodeThatNobodyNamesAnyMoreIsDialledMoreRarely() {
        Roster before = new Roster(List.of(LOW), List.of(), List.of(HIGH), false);
        Roster after = new Roster(List.of(), List.of(), List.of(), false);
        assertEquals(List.of(LOW, HIGH), due(before, 0));
        assertEquals(List.of(), due(after, 100));
        assertEquals(2, due(after, ControlPeerDialer.REMEMBERED_PERIOD_MS).size());
        assertEquals(List.of(), due(after, ControlPeerDialer.REMEMBERED_PERIOD_MS + 100));
        assertEquals(List.of(), due(after, ControlPeerDialer.REMEMBERED_MS + 1), "forgotten in the end");
    }
}
