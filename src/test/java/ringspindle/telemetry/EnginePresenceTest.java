package ringspindle.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.HeartbeatRow;
import ringspindle.protocol.Message.Report;

/** Only what changes is news, and silence is judged on steady time by the engine's own region. */
class EnginePresenceTest {
    private static Engine engine(int coldMs, boolean draining) {
        return engine(1, coldMs, draining);
    }

    private static Engine engine(int host, int coldMs, boolean draining) {
        return new Engine(32, coldMs, draining, -1, 1, "s", "10.1.0." + host + ":80", "a1", "v");
    }

    @Test
    void heartbeatsThatSayNothingNewAreNoNews() {
        EnginePresence p = new EnginePresence(1200);
        int news = 0;
        for (int i = 0; i < 50; i++) {
            news += p.onHeartbeat("i-1", engine(0, false), i, i * 1200L) ? 1 : 0;
        }
        assertEquals(1, news);
        assertTrue(p.onHeartbeat("i-1", engine(0, true), 50, 60_000), "that it leaves");
        assertFalse(p.onHeartbeat("i-1", engine(0, false), 49, 60_100), "a late call");
    }

    /** An engine crashes and another starts at its address; then a call of the first comes that was held up on its way. */
    @Test
    void callThatWasOvertakenIsNoSignOfLifeAndTakesNoAddress() {
        EnginePresence p = new EnginePresence(1000);
        p.onHeartbeat("i-old", engine(0, false), 7, 0);
        p.onHeartbeat("i-new", engine(0, false), 1, 8000);
        p.detectChanges(e -> true, 8000);
        p.onHeartbeat("i-old", engine(0, false), 6, 8500);
        assertTrue(p.ageMs("i-old", 8500) >= 8500, "heard long ago at the latest");
        assertEquals(List.of(), p.detectChanges(e -> true, 8500), "one of the two is judged anew");
    }

    @Test
    void coldEngineIsNewsAtItsStartAndOnceItIsWarm() {
        EnginePresence p = new EnginePresence(1200);
        List<Integer> news = new ArrayList<>();
        int[] left = {3000, 1800, 600, 0, 0, 0};
        for (int i = 0; i < left.length; i++) {
            if (p.onHeartbeat("i-1", engine(left[i], false), i, i * 1200L)) {
                news.add(i);
            }
        }
        assertEquals(List.of(0, 3), news);
        assertTrue(p.onHeartbeat("i-1", engine(3000, false), 9, 9000), "cold again");
    }

    @Test
    void silentOnesBecomeFactsAndComeBack() {
        EnginePresence p = new EnginePresence(1000);
        p.onHeartbeat("i-1", engine(0, false), 1, 0);
        p.onHeartbeat("i-2", engine(2, 0, false), 1, 0);
        assertEquals(List.of(), p.detectChanges(e -> true, 5500), "a start of this node gives engines time");
        for (long at = 6000; at <= 9000; at += 1000) {
            p.onHeartbeat("i-1", engine(0, false), at, at);
        }
        assertEquals(List.of(), p.detectChanges(e -> false, 9100), "another region's are not ours to judge");
        assertEquals(List.of(new EnginePresence.Change("i-2", true, 1)), p.detectChanges(e -> true, 9100));
        assertEquals(List.of(), p.detectChanges(e -> true, 9200));
        // the region's other control node hears it
        p.onPeerHeartbeats(
                LoadSummary.of(
                        new Report(1, 1, List.of(), List.of(new HeartbeatRow(EngineKey.of("i-2"), 300)), List.of())),
                9500);
        assertEquals(List.of(new EnginePresence.Change("i-2", false, 1)), p.detectChanges(e -> true, 9600));
        assertEquals(
                List.of("i-1", "i-2"),
                p.removeSilent(1000, 20_000).stream().sorted().toList());
    }

    @Test
    void whoeverHearsItContradictsAndWhoeverDoesNotGivesIn() {
        EnginePresence p = new EnginePresence(1000);
        p.onHeartbeat("i-1", engine(0, false), 7, 1000);
        assertTrue(p.contradictsSilence("i-1", 6, 1500), "heard since");
        assertFalse(p.contradictsSilence("i-1", 7, 1500), "nothing newer is known");
        assertFalse(p.contradictsSilence("i-1", 6, 20_000), "heard, but long ago");
        assertFalse(p.contradictsSilence("i-9", 6, 1500));
    }

    /** Found on a day that lost a region: engines came back as others at their addresses, the earlier lives were still asked. */
    @Test
    void earlierLifeAtAnAddressIsSilentAsSoonAsAnotherCallsFromThere() {
        EnginePresence p = new EnginePresence(1000);
        p.onForwardedReport("i-1", engine(0, false), 9, 0);
        p.onHeartbeat("i-2", engine(0, false), 1, 400);
        assertEquals(List.of(new EnginePresence.Change("i-1", true, 9)), p.detectChanges(e -> true, 500));
        p.onHeartbeat("i-2", engine(0, false), 2, 1400);
        assertEquals(List.of(), p.detectChanges(e -> true, 1500));
    }
}
