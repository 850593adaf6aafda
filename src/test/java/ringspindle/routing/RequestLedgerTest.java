package ringspindle.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.LedgerRow;
import ringspindle.retry.Action;
import ringspindle.retry.CancelCause;
import ringspindle.retry.TerminalEvent;
import ringspindle.routing.RequestLedger.Violation;

/** The ledger reports no violation for consistent histories and detects each kind of violation. */
class RequestLedgerTest {
    private static TerminalEvent terminalEvent(String id, CancelCause cause) {
        return new TerminalEvent(
                id, cause == null ? Action.State.COMPLETED : Action.State.CANCELED, cause, 1, false, null, 5, 5);
    }

    private static LedgerRow row(RequestLedger ledger) {
        return ledger.report(1, 1, 3, 9).rows().get(0);
    }

    @Test
    void consistentHistoriesViolateNoInvariant() {
        Random random = new Random(1);
        RequestLedger ledger = new RequestLedger();
        List<String> openIds = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            String id = "f-" + i;
            ledger.onAdmitted(id, random.nextInt(3), random.nextBoolean() ? "digests" : "questions", false);
            ledger.onSent(id, false);
            if (random.nextInt(3) == 0) {
                ledger.onNotRun(id);
                ledger.onSent(id, false);
            }
            openIds.add(id);
            if (random.nextInt(3) > 0) {
                CancelCause[] causes = CancelCause.values();
                int causeIndex = random.nextInt(causes.length + 1);
                ledger.onEnded(terminalEvent(
                        openIds.remove(random.nextInt(openIds.size())),
                        causeIndex == causes.length ? null : causes[causeIndex]));
            }
            assertEquals(Set.of(), RequestLedger.violations(ledger.report(1, i, 3, 9)));
        }
        long inProgress = ledger.report(1, 1, 3, 9).rows().stream()
                .mapToLong(LedgerRow::inProgress)
                .sum();
        assertEquals(openIds.size(), inProgress);
    }

    @Test
    void secondRunOfNonRepeatableActionIsReported() {
        RequestLedger ledger = new RequestLedger();
        ledger.onAdmitted("a", 3, "c", false);
        ledger.onSent("a", false);
        ledger.onSent("a", false);
        ledger.onEnded(terminalEvent("a", null));
        assertEquals(Set.of(Violation.RUN_TWICE), RequestLedger.violations(ledger.report(1, 1, 3, 9)));
        RequestLedger repeatable = new RequestLedger();
        repeatable.onAdmitted("a", 3, "c", true);
        repeatable.onSent("a", false);
        repeatable.onSent("a", true);
        repeatable.onEnded(terminalEvent("a", null));
        assertEquals(Set.of(), RequestLedger.violations(repeatable.report(1, 1, 3, 9)));
        assertEquals(1, row(repeatable).resumed());
        assertEquals(2, row(repeatable).mayHaveRun());
    }

    @Test
    void secondTerminalEventIsReported() {
        RequestLedger ledger = new RequestLedger();
        ledger.onAdmitted("a", 3, "c", false);
        ledger.onEnded(terminalEvent("a", null));
        ledger.onEnded(terminalEvent("a", CancelCause.GIVEN_UP));
        assertEquals(Set.of(Violation.ENDED_TWICE), RequestLedger.violations(ledger.report(1, 1, 3, 9)));
        RequestLedger neverAdmitted = new RequestLedger();
        neverAdmitted.onEnded(terminalEvent("b", null));
        assertEquals(Set.of(Violation.ENDED_TWICE), RequestLedger.violations(neverAdmitted.report(1, 1, 3, 9)));
    }

    @Test
    void unaccountedActionBreaksTheSum() {
        LedgerRow unbalanced = new LedgerRow(3, 10, 1, 7, 1, 0, 0, 0, 9, 0, 9, 0, 0, "c");
        assertEquals(
                Set.of(Violation.SUM), RequestLedger.violations(new LedgerReport(1, 1, 3, 9, 0, List.of(unbalanced))));
        LedgerRow balanced = new LedgerRow(3, 10, 1, 7, 1, 0, 0, 1, 9, 0, 9, 0, 0, "c");
        assertEquals(Set.of(), RequestLedger.violations(new LedgerReport(1, 1, 3, 9, 0, List.of(balanced))));
    }
}
