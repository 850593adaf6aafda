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
import ringspindle.routing.RequestLedger.Broken;

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
            l.admitted(id, luck.nextInt(3), luck.nextBoolean() ? "digests" : "questions", false);
            l.sent(id, false);
            if (luck.nextInt(3) == 0) {
                l.notRun(id);
                l.sent(id, false);
            }
            open.add(id);
            if (luck.nextInt(3) > 0) {
                CancelCause[] all = CancelCause.values();
                int c = luck.nextInt(all.length + 1);
                l.ended(end(open.remove(luck.nextInt(open.size())), c == all.length ? null : all[c]));
            }
            assertEquals(Set.of(), RequestLedger.broken(l.report(1, i, 3, 9)));
        }
        long inProgress = l.report(1, 1, 3, 9).rows().stream()
                .mapToLong(LedgerRow::inProgress)
                .sum();
        assertEquals(open.size(), inProgress);
    }

    @Test
    void anActionThatMayRunOnceAndMayHaveRunTwiceShows() {
        RequestLedger l = new RequestLedger();
        l.admitted("a", 3, "c", false);
        l.sent("a", false);
        l.sent("a", false);
        l.ended(end("a", null));
        assertEquals(Set.of(Broken.RUN_TWICE), RequestLedger.broken(l.report(1, 1, 3, 9)));
        RequestLedger repeatable = new RequestLedger();
        repeatable.admitted("a", 3, "c", true);
        repeatable.sent("a", false);
        repeatable.sent("a", true);
        repeatable.ended(end("a", null));
        assertEquals(Set.of(), RequestLedger.broken(repeatable.report(1, 1, 3, 9)));
        assertEquals(1, row(repeatable).resumed());
        assertEquals(2, row(repeatable).mayHaveRun());
    }

    @Test
    void secondTerminalEventsShow() {
        RequestLedger l = new RequestLedger();
        l.admitted("a", 3, "c", false);
        l.ended(end("a", null));
        l.ended(end("a", CancelCause.GIVEN_UP));
        assertEquals(Set.of(Broken.ENDED_TWICE), RequestLedger.broken(l.report(1, 1, 3, 9)));
        RequestLedger never = new RequestLedger();
        never.ended(end("b", null));
        assertEquals(Set.of(Broken.ENDED_TWICE), RequestLedger.broken(never.report(1, 1, 3, 9)));
    }

    @Test
    void lostActionsShowInTheSum() {
        LedgerRow lost = new LedgerRow(3, 10, 1, 7, 1, 0, 0, 0, 9, 0, 9, 0, 0, "c");
        assertEquals(Set.of(Broken.SUM), RequestLedger.broken(new LedgerReport(1, 1, 3, 9, 0, List.of(lost))));
        LedgerRow whole = new LedgerRow(3, 10, 1, 7, 1, 0, 0, 1, 9, 0, 9, 0, 0, "c");
        assertEquals(Set.of(), RequestLedger.broken(new LedgerReport(1, 1, 3, 9, 0, List.of(whole))));
    }
}
