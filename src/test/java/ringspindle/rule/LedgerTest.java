package ringspindle.rule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ringspindle.act.Action.Cause;
import ringspindle.act.Action.Terminal;
import ringspindle.rule.Ledger.Broken;
import ringspindle.wire.Msg.LedgerReport;
import ringspindle.wire.Msg.LedgerRow;

/** The laws hold on sound histories, and each broken one shows. */
class LedgerTest {
    private static Terminal end(String id, Cause cause) {
        return new Terminal(
                id,
                cause == null ? ringspindle.act.Action.State.COMPLETED : ringspindle.act.Action.State.CANCELED,
                cause,
                1,
                false,
                null,
                5,
                5);
    }

    private static LedgerRow row(Ledger l) {
        return l.report(1, 1, 3, 9).rows().get(0);
    }

    @Test
    void soundHistoriesKeepTheLaws() {
        Random luck = new Random(1);
        Ledger l = new Ledger();
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
                Cause[] all = Cause.values();
                int c = luck.nextInt(all.length + 1);
                l.ended(end(open.remove(luck.nextInt(open.size())), c == all.length ? null : all[c]));
            }
            assertEquals(Set.of(), Ledger.broken(l.report(1, i, 3, 9)));
        }
        long inProgress = l.report(1, 1, 3, 9).rows().stream()
                .mapToLong(LedgerRow::inProgress)
                .sum();
        assertEquals(open.size(), inProgress);
    }

    @Test
    void anActionThatMayRunOnceAndMayHaveRunTwiceShows() {
        Ledger l = new Ledger();
        l.admitted("a", 3, "c", false);
        l.sent("a", false);
        l.sent("a", false);
        l.ended(end("a", null));
        assertEquals(Set.of(Broken.RUN_TWICE), Ledger.broken(l.report(1, 1, 3, 9)));
        Ledger repeatable = new Ledger();
        repeatable.admitted("a", 3, "c", true);
        repeatable.sent("a", false);
        repeatable.sent("a", true);
        repeatable.ended(end("a", null));
        assertEquals(Set.of(), Ledger.broken(repeatable.report(1, 1, 3, 9)));
        assertEquals(1, row(repeatable).resumed());
        assertEquals(2, row(repeatable).mayHaveRun());
    }

    @Test
    void secondTerminalEventsShow() {
        Ledger l = new Ledger();
        l.admitted("a", 3, "c", false);
        l.ended(end("a", null));
        l.ended(end("a", Cause.GIVEN_UP));
        assertEquals(Set.of(Broken.ENDED_TWICE), Ledger.broken(l.report(1, 1, 3, 9)));
        Ledger never = new Ledger();
        never.ended(end("b", null));
        assertEquals(Set.of(Broken.ENDED_TWICE), Ledger.broken(never.report(1, 1, 3, 9)));
    }

    @Test
    void lostActionsShowInTheSum() {
        LedgerRow lost = new LedgerRow(3, 10, 1, 7, 1, 0, 0, 0, 9, 0, 9, 0, 0, "c");
        assertEquals(Set.of(Broken.SUM), Ledger.broken(new LedgerReport(1, 1, 3, 9, 0, List.of(lost))));
        LedgerRow whole = new LedgerRow(3, 10, 1, 7, 1, 0, 0, 1, 9, 0, 9, 0, 0, "c");
        assertEquals(Set.of(), Ledger.broken(new LedgerReport(1, 1, 3, 9, 0, List.of(whole))));
    }
}
