package ringspindle.controlplane;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.controlplane.ShutdownHandover.PeerState;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** A node ends once a majority of the others follow the view without it and hold what it holds. */
class ShutdownHandoverTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");
    private static final View WITHOUT_A = new View(5, List.of(A, B, C), List.of(B, C));

    private static boolean done(View view, PeerState... holders) {
        return ShutdownHandover.done(A, view, 7, List.of(holders));
    }

    private static PeerState holder(NodeId n) {
        return new PeerState(n, 5, 7, false);
    }

    @Test
    void aMajorityOfTheOthersHasToHoldIt() {
        assertTrue(done(WITHOUT_A, holder(B), holder(C)));
        assertTrue(done(WITHOUT_A, holder(B), new PeerState(C, 6, 9, false)), "a newer view and state hold it as well");
        assertFalse(done(WITHOUT_A, holder(B)), "one of three voters is no majority");
        assertFalse(done(WITHOUT_A, holder(B), holder(B)), "nor is one counted twice");
        assertFalse(done(WITHOUT_A, holder(B), holder(A)), "this node does not count");
        assertFalse(done(WITHOUT_A, holder(B), holder(NodeId.of("10.0.0.4:7000"))), "who does not vote does not count");
    }

    @Test
    void oldViewsOldStatesAndBlankNodesDoNotCount() {
        assertFalse(done(WITHOUT_A, holder(B), new PeerState(C, 4, 7, false)), "does not know the view yet");
        assertFalse(done(WITHOUT_A, holder(B), new PeerState(C, 5, 6, false)), "lacks the last order");
        assertFalse(done(WITHOUT_A, holder(B), new PeerState(C, 5, 7, true)), "is blank");
    }

    @Test
    void thereIsNoEndWhileTheChainHasThisNode() {
        assertFalse(done(new View(5, List.of(A, B, C), List.of(B, A, C)), holder(B), holder(C)));
        assertTrue(done(null), "nothing is known here");
        assertTrue(done(new View(1, List.of(A), List.of(A))), "nobody is there to take it");
    }
}
