package ringspindle.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.StringReader;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Answers of several control nodes put together: each life once, nothing claimed that was not reported. */
class FleetLedgerTest {
    private static JsonObject answer(long revision, String nodes, String ledgers) {
        String json = "{\"revision\":" + revision + ",\"digest\":\"d" + revision + "\",\"idle\":[],\"nodes\":[" + nodes
                + "],\"ledgers\":[" + ledgers + "]}";
        return Json.createReader(new StringReader(json)).readObject();
    }

    private static String node(String name, String region, long life, boolean inTouch) {
        return "{\"node\":\"" + name + ":1\",\"name\":\"" + name + "\",\"zone\":\"z\",\"region\":\"" + region
                + "\",\"life\":" + life + ",\"inTouch\":" + inTouch + "}";
    }

    private static String life(
            String name, long life, long seq, long revision, long admitted, long inProgress, long completed) {
        return "{\"node\":\"" + name + ":1\",\"life\":" + life + ",\"seq\":" + seq + ",\"revision\":" + revision
                + ",\"digest\":\"d" + revision
                + "\",\"broken\":[],\"rows\":[{\"revision\":" + revision + ",\"class\":\"c\",\"admitted\":" + admitted
                + ",\"inProgress\":" + inProgress
                + ",\"completed\":" + completed
                + ",\"clientGone\":0,\"overdue\":0,\"nodeEnds\":0,\"givenUp\":0,\"sent\":" + admitted
                + ",\"notRun\":0,\"mayHaveRun\":" + admitted + ",\"resumed\":0,\"runTwice\":0}]}";
    }

    @Test
    void eachLifeCountsOnceByItsNewestReport() {
        FleetLedger ledger = new FleetLedger()
                .add(answer(3, node("a", "ahd", 1, true), life("a", 1, 9, 3, 100, 2, 98)))
                .add(answer(3, node("a", "ahd", 1, true), life("a", 1, 4, 3, 50, 1, 49)));
        assertEquals(100, ledger.totals().get(0).count(LedgerCounter.ADMITTED));
        assertEquals(2, ledger.totals().get(0).count(LedgerCounter.IN_PROGRESS));
        assertEquals(List.of(), ledger.brokenLaws());
        assertTrue(ledger.allFollow());
    }

    @Test
    void actionsOfANodeThatDiedAreUnknownNeverAnswered() {
        FleetLedger ledger = new FleetLedger()
                .add(answer(
                        3,
                        node("a", "ahd", 2, true) + "," + node("b", "srt", 1, false),
                        life("a", 1, 9, 3, 100, 5, 95) + "," + life("a", 2, 1, 3, 10, 1, 9) + ","
                                + life("b", 1, 3, 3, 7, 3, 4)));
        FleetLedger.ClassTotals totals = ledger.totals().get(0);
        assertEquals(1, totals.count(LedgerCounter.IN_PROGRESS));
        assertEquals(8, totals.count(LedgerCounter.UNKNOWN));
        assertEquals(108, totals.count(LedgerCounter.COMPLETED));
        assertEquals(List.of(), ledger.brokenLaws());
        assertEquals(List.of("b"), ledger.regions().get(1).notInTouch());
    }

    @Test
    void nobodyIsSaidToFollowWhoHasNotSaidSo() {
        FleetLedger other = new FleetLedger().add(answer(4, node("a", "ahd", 1, true), life("a", 1, 9, 3, 1, 0, 1)));
        assertFalse(other.allFollow());
        assertEquals(List.of("a at 3"), other.regions().get(0).other());
        FleetLedger unheard = new FleetLedger().add(answer(4, node("a", "ahd", 1, true), ""));
        assertFalse(unheard.allFollow());
        assertEquals(List.of("a"), unheard.regions().get(0).unheard());
        FleetLedger earlier = new FleetLedger().add(answer(4, node("a", "ahd", 2, true), life("a", 1, 9, 4, 1, 0, 1)));
        assertFalse(earlier.allFollow(), "what an earlier life said says nothing of this one");
        FleetLedger mixed = new FleetLedger()
                .add(answer(3, "", ""))
                .add(answer(4, node("a", "ahd", 1, true), life("a", 1, 9, 4, 1, 0, 1)));
        assertEquals(4, mixed.revision());
        assertTrue(mixed.allFollow());
    }

    @Test
    void lostAnswersShow() {
        FleetLedger ledger =
                new FleetLedger().add(answer(3, node("a", "ahd", 1, true), life("a", 1, 9, 3, 100, 2, 90)));
        assertEquals(List.of("SUM over all nodes of c at 3"), ledger.brokenLaws());
    }
}
