package ringspindle.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when a snapshot is sent again to the successor in the chain. */
class SuccessorLinkTest {
    private final SuccessorLink link = new SuccessorLink();

    @Test
    void aSnapshotIsSentFirst() {
        assertTrue(link.snapshotDue());
        assertEquals(-1, link.sentSeq());
        link.sent(7, 100);
        assertFalse(link.snapshotDue());
        assertEquals(7, link.sentSeq());
    }

    @Test
    void unacknowledgedSnapshotsAreResentWithExponentialBackoff() {
        List<Long> resendDelaysMs = new ArrayList<>();
        long lastSentMs = 0;
        link.sent(7, 0);
        for (long nowMs = 1; resendDelaysMs.size() < 6; nowMs++) {
            link.tick(7, nowMs);
            if (link.snapshotDue()) {
                resendDelaysMs.add(nowMs - lastSentMs);
                lastSentMs = nowMs;
                link.sent(7, nowMs);
            }
        }
        assertEquals(List.of(401L, 801L, 1601L, 3201L, 6401L, 6401L), resendDelaysMs);
    }

    @Test
    void anAcknowledgedSnapshotIsNotResent() {
        link.sent(7, 0);
        link.acknowledged(7);
        link.tick(7, 100_000);
        assertFalse(link.snapshotDue());
    }

    @Test
    void anAcknowledgementResetsTheBackoff() {
        link.sent(7, 0);
        link.tick(7, 401);
        link.sent(7, 401);
        link.acknowledged(6);
        link.tick(7, 802);
        assertTrue(link.snapshotDue());
    }

    @Test
    void aNewViewRequiresANewSnapshot() {
        link.sent(7, 0);
        link.acknowledged(7);
        link.startView();
        assertTrue(link.snapshotDue());
        link.sent(7, 0);
        link.tick(7, 401);
        assertTrue(link.snapshotDue(), "acknowledgements from the previous view do not count");
    }
}
