package ringspindle.controlplane.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.NodeId;

/**
 * The newest request ledger of each incarnation of each data node that reports here. Incarnations are in the order in which
 * they were first heard: their numbers come from the time of day, which may go back. Guarded by the fleet's lock.
 */
public final class LedgerReportStore {
    private static final int INCARNATIONS_MAX = 4;
    private static final int NODES_MAX = 10_000;

    /**
     * The newest ledger of an incarnation.
     *
     * @param newest the incarnation is the newest of its node
     */
    public record Entry(LedgerReport report, boolean newest) {}

    private final Map<NodeId, LinkedHashMap<Long, LedgerReport>> reportsByNode = new LinkedHashMap<>();

    /** Keeps a report unless a newer one of the same incarnation is there; the oldest make room. */
    public void put(NodeId node, LedgerReport report) {
        LinkedHashMap<Long, LedgerReport> reports =
                reportsByNode.computeIfAbsent(node, unseen -> new LinkedHashMap<>());
        LedgerReport known = reports.get(report.life());
        if (known == null || report.seq() > known.seq()) {
            reports.put(report.life(), report);
        }
        removeEldestAbove(INCARNATIONS_MAX, reports);
        removeEldestAbove(NODES_MAX, reportsByNode);
    }

    private static <K> void removeEldestAbove(int max, Map<K, ?> map) {
        if (map.size() > max) {
            map.remove(map.keySet().iterator().next());
        }
    }

    /** All reports, by node; of each node the oldest incarnation first. */
    public Map<NodeId, List<Entry>> all() {
        Map<NodeId, List<Entry>> entriesByNode = new TreeMap<>();
        reportsByNode.forEach((node, reports) -> {
            List<Entry> entries = new ArrayList<>();
            for (LedgerReport report : reports.values()) {
                entries.add(new Entry(report, entries.size() == reports.size() - 1));
            }
            entriesByNode.put(node, entries);
        });
        return entriesByNode;
    }
}
