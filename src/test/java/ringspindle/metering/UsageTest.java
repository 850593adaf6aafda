package ringspindle.metering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.TenantMessage.UsageReport;
import ringspindle.protocol.TenantMessage.UsageRow;

/** Counts by window: what a process has told counts once, whoever hears it how often. */
class UsageTest {
    private static final NodeId ONE = NodeId.of("10.0.0.1:7001");
    private static final NodeId OTHER = NodeId.of("10.0.0.2:7001");

    @Test
    void windowsAreCountedByTheirNumbersAndForgottenWhenOld() {
        UsageCounter counter = new UsageCounter(5000);
        counter.began("a", 4999);
        counter.began("a", 5000);
        counter.began("a", 5001);
        counter.began("b", 9999);
        assertEquals(
                List.of(new UsageRow(0, "a", 1), new UsageRow(1, "a", 2), new UsageRow(1, "b", 1)), counter.rows(9999));
        assertEquals(List.of(new UsageRow(1, "a", 2), new UsageRow(1, "b", 1)), counter.rows(25_000));
        assertTrue(counter.rows(60_000).isEmpty());
    }

    @Test
    void reportsThatComeAgainOrLateCountOnceAndLivesAddUp() {
        UsageLedger ledger = new UsageLedger();
        ledger.add(new UsageReport(ONE, 1, List.of(new UsageRow(7, "a", 3))));
        ledger.add(new UsageReport(ONE, 1, List.of(new UsageRow(7, "a", 5))));
        ledger.add(new UsageReport(ONE, 1, List.of(new UsageRow(7, "a", 3))));
        ledger.add(new UsageReport(ONE, 2, List.of(new UsageRow(7, "a", 2), new UsageRow(8, "b", 1))));
        ledger.add(new UsageReport(OTHER, 1, List.of(new UsageRow(7, "a", 10))));
        assertEquals(Map.of("a", 17L), ledger.counts(7));
        assertEquals(Map.of("b", 1L), ledger.counts(8));
        assertEquals(7, ledger.firstWindow().orElseThrow());
        assertEquals(8, ledger.lastWindow().orElseThrow());
    }
}
