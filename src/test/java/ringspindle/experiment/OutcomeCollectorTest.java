package ringspindle.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Message.Outcomes;
import ringspindle.protocol.NodeId;

/** What data nodes count is summed once, whatever comes twice, late, or by another control node. */
class OutcomeCollectorTest {
    private static final long EXPERIMENT = 7;
    private static final NodeId DATA = NodeId.of("10.0.0.20:7721");
    private static final NodeId ONE = NodeId.of("10.0.0.1:7720");
    private static final NodeId OTHER = NodeId.of("10.0.0.2:7720");
    private static final Assignment SCRIP = new Assignment(EXPERIMENT, 1, 0, 3, Policy.DEFAULT);

    private final OutcomeTable table = new OutcomeTable();
    private final OutcomeCollector one = new OutcomeCollector();
    private final OutcomeCollector other = new OutcomeCollector();
    private long sequence;
    private long nowMs = 1000;

    private void count(int requests) {
        for (int i = 0; i < requests; i++) {
            table.add(SCRIP, i % 2 == 0, 100, 500);
        }
    }

    private Outcomes report(boolean whole) {
        return table.report(1, ++sequence, "ahd", whole).get(0);
    }

    private void tellEachOther() {
        sequence++;
        one.ownSums(1, sequence).forEach(sum -> other.summed(ONE, sum, nowMs));
        other.ownSums(1, sequence).forEach(sum -> one.summed(OTHER, sum, nowMs));
    }

    private long requests(OutcomeCollector collector) {
        return collector.totals(EXPERIMENT, nowMs).requests();
    }

    @Test
    void reportThatComesTwiceOrIsLostAddsNothing() {
        count(4);
        Outcomes first = report(false);
        count(3);
        report(false);
        count(2);
        Outcomes third = report(true);
        one.reported(DATA, first);
        one.reported(DATA, third);
        one.reported(DATA, first);
        assertEquals(9, requests(one));
        Counts counts = one.totals(EXPERIMENT, nowMs).byRegion().get("ahd").get(new Cell(1, 0, 3));
        assertEquals(4, counts.bad());
        assertEquals(9 * 200, counts.use());
    }

    @Test
    void sourceThatMovesCountsOnce() {
        count(4);
        one.reported(DATA, report(true));
        count(2);
        other.reported(DATA, report(true));
        one.ownSums(1, 1).forEach(sum -> other.summed(ONE, sum, nowMs));
        assertFalse(other.totals(EXPERIMENT, nowMs).consistent(), "both hold the source for a moment");
        tellEachOther();
        tellEachOther();
        assertTrue(other.totals(EXPERIMENT, nowMs).consistent());
        assertEquals(6, requests(one));
        assertEquals(6, requests(other));
    }

    @Test
    void restartOfTheSourceAddsToWhatItHadCounted() {
        count(4);
        one.reported(DATA, report(true));
        OutcomeTable restarted = new OutcomeTable();
        restarted.add(SCRIP, true, 100, 500);
        one.reported(DATA, restarted.report(2, 1, "ahd", true).get(0));
        assertEquals(5, requests(one));
    }

    @Test
    void restartOfAControlNodeReplacesItsSum() {
        count(4);
        one.reported(DATA, report(true));
        one.ownSums(1, 50).forEach(sum -> other.summed(ONE, sum, nowMs));
        OutcomeCollector restarted = new OutcomeCollector();
        count(1);
        restarted.reported(DATA, report(true));
        restarted.ownSums(2, 1).forEach(sum -> other.summed(ONE, sum, nowMs));
        assertEquals(5, requests(other));
    }

    @Test
    void sumOfAControlNodeThatIsGoneCountsNoLongerThanItsDataNodesNeedToTellAnother() {
        count(4);
        one.reported(DATA, report(true));
        tellEachOther();
        assertEquals(4, requests(other));
        nowMs += 6000;
        assertEquals(0, requests(other));
        count(1);
        other.reported(DATA, report(true));
        assertEquals(5, requests(other));
    }

    @Test
    void experimentsThatAreOverAreForgotten() {
        count(4);
        one.reported(DATA, report(true));
        tellEachOther();
        other.retain(Set.of());
        one.retain(Set.of());
        assertEquals(0, requests(one));
        assertEquals(0, requests(other));
    }
}
