package ringspindle.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import ringspindle.controlplane.QuorumTracker.Contact;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** A majority is proven as of a time, and not beyond it. */
class QuorumTrackerTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");
    private static final NodeId D = NodeId.of("10.0.0.4:7000");
    private static final NodeId E = NodeId.of("10.0.0.5:7000");
    private static final View FIVE = new View(3, List.of(A, B, C, D, E), List.of(A, B, C));

    private final QuorumTracker proof = new QuorumTracker();
    private final Map<NodeId, Contact> contacts = new TreeMap<>();

    private void tick(long nowMs) {
        proof.renew(nowMs, A, FIVE, contacts::get);
    }

    private void contact(NodeId n, long sentMs) {
        contacts.put(n, new Contact(sentMs, 3, false));
    }

    @Test
    void itDatesFromTheOldestHeartbeatOfTheNewestMajority() {
        contact(B, 900);
        tick(1000);
        assertFalse(proof.majorityReachable(1000), "two of five");
        contact(C, 700);
        contact(D, 200);
        tick(1000);
        assertTrue(proof.majorityReachable(1000));
        assertEquals(300, proof.ageMs(1000));
    }

    @Test
    void itRunsOutWithoutATick() {
        contact(B, 900);
        contact(C, 900);
        tick(1000);
        assertTrue(proof.majorityReachable(1999) && proof.upToDate(1999));
        assertFalse(proof.majorityReachable(2000), "no tick for a second: this node stood still");
        for (long nowMs = 1100; nowMs < 2400; nowMs += 100) {
            tick(nowMs);
        }
        assertTrue(proof.majorityReachable(2399));
        assertFalse(proof.majorityReachable(2400), "ticks without contact do not renew it");
        assertFalse(proof.upToDate(2400));
    }

    @Test
    void nodeIsStartingUntilItHasMetAMajorityOrItsTimeIsUp() {
        assertFalse(proof.starting(0), "not before it runs");
        tick(0);
        assertTrue(proof.starting(0) && !proof.majorityReachable(0));
        for (long nowMs = 100; nowMs < QuorumTracker.STARTING_MS; nowMs += 100) {
            tick(nowMs);
            assertTrue(proof.starting(nowMs));
        }
        tick(QuorumTracker.STARTING_MS);
        assertFalse(proof.starting(QuorumTracker.STARTING_MS), "cut off from the start on");
    }

    @Test
    void nodeThatHasMetAMajorityIsNotStartingAgain() {
        contact(B, 90);
        contact(C, 90);
        tick(100);
        assertTrue(proof.majorityReachable(100) && !proof.starting(100));
        for (long nowMs = 200; nowMs < 2000; nowMs += 100) {
            tick(nowMs);
        }
        assertFalse(proof.majorityReachable(1900) || proof.starting(1900), "cut off: nothing is held");
    }

    @Test
    void afterAPauseNoNodeIsStarting() {
        tick(0);
        assertFalse(proof.starting(1000), "it may stand still since");
        tick(1500);
        assertFalse(proof.starting(1500), "what came in meanwhile is of callers that have gone elsewhere");
    }

    @Test
    void afterAPauseOnlyWhatWasSentSinceCounts() {
        contact(B, 900);
        contact(C, 900);
        tick(1000);
        tick(2000);
        assertFalse(proof.majorityReachable(2000), "1100 ms old, but from before the pause");
        assertEquals(-1, proof.ageMs(2000));
        contact(B, 1990);
        contact(C, 1999);
        tick(2100);
        assertFalse(proof.majorityReachable(2100), "sent before this node knew of its pause");
        contact(B, 2100);
        contact(C, 2100);
        tick(2200);
        assertTrue(proof.majorityReachable(2200) && proof.upToDate(2200));
    }

    @Test
    void whoKnowsANewerViewProvesContactOnly() {
        contact(B, 900);
        contacts.put(C, new Contact(900, 4, false));
        tick(1000);
        assertTrue(proof.majorityReachable(1000));
        assertFalse(proof.upToDate(1000), "a later view may have taken orders that this node lacks");
        contact(D, 950);
        tick(1100);
        assertTrue(proof.upToDate(1100), "a majority of this view knows of none");
    }

    @Test
    void aProofOfAMomentStaysOneWhenAVoterLearnsANewerView() {
        contact(B, 900);
        contact(C, 900);
        tick(1000);
        contacts.put(B, new Contact(1000, 4, false));
        contacts.put(C, new Contact(1000, 4, false));
        tick(1100);
        assertTrue(proof.upToDate(1100), "nothing newer was known at 900");
        assertEquals(200, proof.ageMs(1100));
    }

    @Test
    void blankVotersProveNothing() {
        contact(B, 900);
        contacts.put(C, new Contact(900, 3, true));
        tick(1000);
        assertFalse(proof.majorityReachable(1000));
    }

    @Test
    void withoutAViewThereIsNone() {
        contact(B, 900);
        contact(C, 900);
        proof.renew(1000, A, null, contacts::get);
        assertFalse(proof.majorityReachable(1000));
        assertEquals(-1, proof.ageMs(1000));
    }

    @Test
    void aVoterAloneProvesItself() {
        proof.renew(1000, A, new View(1, List.of(A), List.of(A)), contacts::get);
        assertTrue(proof.upToDate(1000));
        assertEquals(0, proof.ageMs(1000));
    }

    @Test
    void itIsKnownForHowLongItHeld() {
        contact(B, 1000);
        contact(C, 1000);
        for (long nowMs = 1000; nowMs <= 1500; nowMs += 100) {
            tick(nowMs);
        }
        assertEquals(500, proof.heldMs(1500));
        for (long nowMs = 1600; nowMs < 3000; nowMs += 100) {
            tick(nowMs);
        }
        assertEquals(0, proof.heldMs(2999));
        contact(B, 3000);
        contact(C, 3000);
        tick(3000);
        tick(3100);
        assertEquals(100, proof.heldMs(3100), "counted anew after a break");
    }
}
