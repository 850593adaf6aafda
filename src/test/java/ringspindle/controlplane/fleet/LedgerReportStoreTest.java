package ringspindle.controlplane.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.NodeId;

/**
 * The store holds the newest ledger of each of a node's last incarnations, in the order in which they first reported.
 */
class LedgerReportStoreTest {
    private static final NodeId NODE = NodeId.of("10.0.0.1:7001");
    private final LedgerReportStore ledgers = new LedgerReportStore();

    private void put(long incarnation, long seq) {
        ledgers.put(NODE, new LedgerReport(incarnation, seq, 0, 0, 0, List.of()));
    }

    private List<String> stored() {
        return ledgers.all().get(NODE).stream()
                .map(entry -> entry.report().life() + "/" + entry.report().seq() + (entry.newest() ? " newest" : ""))
                .toList();
    }

    @Test
    void olderReportOfAnIncarnationIsIgnored() {
        put(7, 3);
        put(7, 2);
        assertEquals(List.of("7/3 newest"), stored());
    }

    @Test
    void incarnationThatStartedAfterTheClockWentBackIsTheNewest() {
        for (long incarnation = 100; incarnation < 104; incarnation++) {
            put(incarnation, 1);
        }
        put(50, 1);
        put(50, 2);
        assertEquals(
                List.of("101/1", "102/1", "103/1", "50/2 newest"),
                stored(),
                "the incarnation that reported first is evicted");
    }
}
