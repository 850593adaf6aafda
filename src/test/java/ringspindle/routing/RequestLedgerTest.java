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

/** The laws hold on sound histories, and each broken one shows. */
class RequestLedgerTest {
    private static TerminalEvent end(String id, CancelCause cause) {
        return new TerminalEvent(
                id, cause == null ? Action.State.COMPLETED : Action.State.CANCELED, cause, 1, false, null, 5, 5);
    }

    private static LedgerRow row(RequestLedger l) {
        return l.report(1, 1, 3, 9).rows().get(0);
    }

    @Test
    void soundHistoriesKeepTheLaws() {
        Random luck = new Random(1);
        RequestLedger l = new RequestLedger();
        List<String> open = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            String id = "f-" + i;
            l.onAdmitted(id, luck.nextInt(3), luck.nextBoolean() ? "digests" : "questions", false);
            l.onSent(id, false);
            if (luck.nextInt(3) == 0) {
                l.onNotRun(id);
                l.onSent(id, false);
            }
            open.add(id);
            if (luck.nextInt(3) > 0) {
                CancelCause[] all = CancelCause.values();
                int c = luck.nextInt(all.length + 1);
                l.onEnded(end(open.remove(luck.nextInt(open.size())), c == all.length ? null : all[c]));
            }
            assertEquals(Set.of(), RequestLedger.violations(l.report(1, i, 3, 9)));
        }
        long inProgress = l.report(1, 1, 3, 9).rows().stream()
                .mapToLong(LedgerRow::inProgress)
                .sum();
        assertEquals(open.size(), inProgress);
    }

    @Test
    void anActionThatMayRunOnceAndMayHaveRunTwiceShows() {
        RequestLedger l = new RequestLedger();
        l.onAdmitted("a", 3, "c", false);
        l.onSent("a", false);
        l.onSent("a", false);
        l.onEnded(end("a", null));
        assertEquals(Set.of(Violation.RUN_TWICE), RequestLedger.violations(l.report(1, 1, 3, 9)));
        RequestLedger repeatable = new RequestLedger();
        repeatable.onAdmitted("a", 3, "c", true);
        repeatable.onSent("a", false);
        repeatable.onSent("a", true);
        repeatable.onEnded(end("a", null));
        assertEquals(Set.of(), RequestLedger.violations(repeatable.report(1, 1, 3, 9)));
        assertEquals(1, row(repeatable).resumed());
        assertEquals(2, row(repeatable).mayHaveRun());
    }

    @Test
    void secondTerminalEventsShow() {
        RequestLedger l = new RequestLedger();
        l.onAdmitted("a", 3, "c", false);
        l.onEnded(end("a", null));
        l.onEnded(end("a", CancelCause.GIVEN_UP));
        assertEquals(Set.of(Violation.ENDED_TWICE), RequestLedger.violations(l.report(1, 1, 3, 9)));
        RequestLedger never = new RequestLedger();
        never.onEnded(end("b", null));
        assertEquals(Set.of(Violation.ENDED_TWICE), RequestLedger.violations(never.report(1, 1, 3, 9)));
    }

    @Test
    void lostActionsShowInTheSum() {
        LedgerRow lost = new LedgerRow(3, 10, 1, 7, 1, 0, 0, 0, 9, 0, 9, 0, 0, "c");
        assertEquals(Set.of(Violation.SUM), RequestLedger.violations(new LedgerReport(1, 1, 3, 9, 0, List.of(lost))));
        LedgerRow whole = new LedgerRow(3, 10, 1, 7, 1, 0, 0, 1, 9, 0, 9, 0, 0, "c");
        assertEquals(Set.of(), RequestLedger.violations(new LedgerReport(1, 1, 3, 9, 0, List.of(whole))));
    }
}
