package ringspindle.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import ringspindle.controlplane.QuorumTracker.VoterContact;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * A quorum proof dates from the heartbeats that it is based on, and expires without new ones or after a process pause.
 */
class QuorumTrackerTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7000");
    private static final NodeId B = NodeId.of("10.0.0.2:7000");
    private static final NodeId C = NodeId.of("10.0.0.3:7000");
    private static final NodeId D = NodeId.of("10.0.0.4:7000");
    private static final NodeId E = NodeId.of("10.0.0.5:7000");
    private static final View VIEW = new View(3, List.of(A, B, C, D, E), List.of(A, B, C));

    private final QuorumTracker tracker = new QuorumTracker();
    private final Map<NodeId, VoterContact> contacts = new TreeMap<>();

    private void tick(long nowMs) {
        tracker.renew(nowMs, A, VIEW, contacts::get);
    }

    private void contact(NodeId node, long sentMs) {
        contacts.put(node, new VoterContact(sentMs, 3, false));
    }

    @Test
    void proofDatesFromTheOldestHeartbeatOfTheNewestMajority() {
        contact(B, 900);
        tick(1000);
        assertFalse(tracker.majorityReachable(1000), "two of five voters");
        contact(C, 700);
        contact(D, 200);
        tick(1000);
        assertTrue(tracker.majorityReachable(1000));
        assertEquals(300, tracker.proofAgeMs(1000));
    }

    @Test
    void proofExpiresWithoutATick() {
        contact(B, 900);
        contact(C, 900);
        tick(1000);
        assertTrue(tracker.majorityReachable(1999) && tracker.upToDate(1999));
        assertFalse(tracker.majorityReachable(2000), "no tick for a second: the process was paused");
        for (long nowMs = 1100; nowMs < 2400; nowMs += 100) {
            tick(nowMs);
        }
        assertTrue(tracker.majorityReachable(2399));
        assertFalse(tracker.majorityReachable(2400), "ticks without contact do not renew it");
        assertFalse(tracker.upToDate(2400));
    }

    @Test
    void nodeIsStartingUntilAMajorityIsReachedOrTheTimeoutExpires() {
        assertFalse(tracker.starting(0), "not before the first tick");
        tick(0);
        assertTrue(tracker.starting(0) && !tracker.majorityReachable(0));
        for (long nowMs = 100; nowMs < QuorumTracker.STARTING_MS; nowMs += 100) {
            tick(nowMs);
            assertTrue(tracker.starting(nowMs));
        }
        tick(QuorumTracker.STARTING_MS);
        assertFalse(tracker.starting(QuorumTracker.STARTING_MS), "isolated since its start");
    }

    @Test
    void nodeIsNotStartingAgainAfterReachingAMajority() {
        contact(B, 90);
        contact(C, 90);
        tick(100);
        assertTrue(tracker.majorityReachable(100) && !tracker.starting(100));
        for (long nowMs = 200; nowMs < 2000; nowMs += 100) {
            tick(nowMs);
        }
        assertFalse(tracker.majorityReachable(1900) || tracker.starting(1900), "isolated: calls are not held");
    }

    @Test
    void nodeIsNotStartingAfterAPause() {
        tick(0);
        assertFalse(tracker.starting(1000), "the process may have been paused since the last tick");
        tick(1500);
        assertFalse(
                tracker.starting(1500), "calls received meanwhile are from callers that have since retried elsewhere");
    }

    @Test
    void afterAPauseOnlyLaterHeartbeatsCount() {
        contact(B, 900);
        contact(C, 900);
        tick(1000);
        tick(2000);
        assertFalse(tracker.majorityReachable(2000), "1100 ms old, but from before the pause");
        assertEquals(-1, tracker.proofAgeMs(2000));
        contact(B, 1990);
        contact(C, 1999);
        tick(2100);
        assertFalse(tracker.majorityReachable(2100), "sent before this node noticed its pause");
        contact(B, 2100);
        contact(C, 2100);
        tick(2200);
        assertTrue(tracker.majorityReachable(2200) && tracker.upToDate(2200));
    }

    @Test
    void voterWithANewerViewProvesOnlyReachability() {
        contact(B, 900);
        contacts.put(C, new VoterContact(900, 4, false));
        tick(1000);
        assertTrue(tracker.majorityReachable(1000));
        assertFalse(tracker.upToDate(1000), "a newer view may have committed commands that this node lacks");
        contact(D, 950);
        tick(1100);
        assertTrue(tracker.upToDate(1100), "a majority of this view knows no newer one");
    }

    @Test
    void proofStaysValidWhenAVoterLearnsANewerView() {
        contact(B, 900);
        contact(C, 900);
        tick(1000);
        contacts.put(B, new VoterContact(1000, 4, false));
        contacts.put(C, new VoterContact(1000, 4, false));
        tick(1100);
        assertTrue(tracker.upToDate(1100), "no newer view was known at 900");
        assertEquals(200, tracker.proofAgeMs(1100));
    }

    @Test
    void relearningVotersProveNothing() {
        contact(B, 900);
        contacts.put(C, new VoterContact(900, 3, true));
        tick(1000);
        assertFalse(tracker.majorityReachable(1000));
    }

    @Test
    void thereIsNoProofWithoutAView() {
        contact(B, 900);
        contact(C, 900);
        tracker.renew(1000, A, null, contacts::get);
        assertFalse(tracker.majorityReachable(1000));
        assertEquals(-1, tracker.proofAgeMs(1000));
    }

    @Test
    void singleVoterProvesItself() {
        tracker.renew(1000, A, new View(1, List.of(A), List.of(A)), contacts::get);
        assertTrue(tracker.upToDate(1000));
        assertEquals(0, tracker.proofAgeMs(1000));
    }

    @Test
    void upToDateDurationRestartsAfterAnInterruption() {
        contact(B, 1000);
        contact(C, 1000);
        for (long nowMs = 1000; nowMs <= 1500; nowMs += 100) {
            tick(nowMs);
        }
        assertEquals(500, tracker.upToDateForMs(1500));
        for (long nowMs = 1600; nowMs < 3000; nowMs += 100) {
            tick(nowMs);
        }
        assertEquals(0, tracker.upToDateForMs(2999));
        contact(B, 3000);
        contact(C, 3000);
        tick(3000);
        tick(3100);
        assertEquals(100, tracker.upToDateForMs(3100), "restarts after an interruption");
    }
}
