package ringspindle.controlplane;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.controlplane.ShutdownHandover.PeerState;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** A node may stop once a majority of the other voters follow a view without it and hold its committed state. */
class ShutdownHandoverTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");
    private static final View WITHOUT_A = new View(5, List.of(A, B, C), List.of(B, C));

    private static boolean isComplete(View view, PeerState... peers) {
        return ShutdownHandover.isComplete(A, view, 7, List.of(peers));
    }

    private static PeerState upToDatePeer(NodeId node) {
        return new PeerState(node, 5, 7, false);
    }

    @Test
    void majorityOfTheOtherVotersMustHoldTheState() {
        assertTrue(isComplete(WITHOUT_A, upToDatePeer(B), upToDatePeer(C)));
        assertTrue(
                isComplete(WITHOUT_A, upToDatePeer(B), new PeerState(C, 6, 9, false)),
                "a newer view and state include it");
        assertFalse(isComplete(WITHOUT_A, upToDatePeer(B)), "one of three voters is no majority");
        assertFalse(isComplete(WITHOUT_A, upToDatePeer(B), upToDatePeer(B)), "a duplicate counts once");
        assertFalse(isComplete(WITHOUT_A, upToDatePeer(B), upToDatePeer(A)), "the leaving node does not count");
        assertFalse(
                isComplete(WITHOUT_A, upToDatePeer(B), upToDatePeer(NodeId.of("10.0.0.4:7000"))),
                "non-voters do not count");
    }

    @Test
    void oldViewsOldStatesAndRelearningNodesDoNotCount() {
        assertFalse(isComplete(WITHOUT_A, upToDatePeer(B), new PeerState(C, 4, 7, false)), "follows an older view");
        assertFalse(
                isComplete(WITHOUT_A, upToDatePeer(B), new PeerState(C, 5, 6, false)),
                "lacks the last committed command");
        assertFalse(isComplete(WITHOUT_A, upToDatePeer(B), new PeerState(C, 5, 7, true)), "is relearning");
    }

    @Test
    void handoverIsIncompleteWhileTheChainContainsTheNode() {
        assertFalse(isComplete(new View(5, List.of(A, B, C), List.of(B, A, C)), upToDatePeer(B), upToDatePeer(C)));
        assertTrue(isComplete(null), "no view is known");
        assertTrue(isComplete(new View(1, List.of(A), List.of(A))), "no other voter to hand over to");
    }
}
