package ringspindle.controlplane.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.NodeId;

/** The newest ledger of each of the last lives of a node, whatever numbers the lives have. */
class LedgerReportStoreTest {
    private static final NodeId A = NodeId.of("10.0.0.1:7001");
    private final LedgerReportStore ledgers = new LedgerReportStore();

    private void take(long life, long seq) {
        ledgers.put(A, new LedgerReport(life, seq, 0, 0, 0, List.of()));
    }

    private List<String> held() {
        return ledgers.all().get(A).stream()
                .map(l -> l.report().life() + "/" + l.report().seq() + (l.newest() ? " newest" : ""))
                .toList();
    }

    @Test
    void anOlderReportOfALifeChangesNothing() {
        take(7, 3);
        take(7, 2);
        assertEquals(List.of("7/3 newest"), held());
    }

    @Test
    void aLifeThatStartedUnderAClockThatWentBackIsTheNewest() {
        for (long life = 100; life < 104; life++) {
            take(life, 1);
        }
        take(50, 1);
        take(50, 2);
        assertEquals(List.of("101/1", "102/1", "103/1", "50/2 newest"), held(), "the life heard first makes room");
    }
}
