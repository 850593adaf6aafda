package ringspindle.controlplane.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.NodeId;

/**
 * Stores the newest request ledger of each incarnation of each data node that reports here. Incarnations are kept in
 * the order in which they first reported: their numbers come from the wall clock, which may go back. Guarded by the
 * fleet's lock.
 */
public final class LedgerReportStore {
    private static final int MAX_INCARNATIONS = 4;
    private static final int MAX_NODES = 10_000;

    /**
     * The newest ledger of an incarnation.
     *
     * @param newest whether the incarnation is the newest of its node
     */
    public record Entry(LedgerReport report, boolean newest) {}

    private final Map<NodeId, LinkedHashMap<Long, LedgerReport>> reportsByNode = new LinkedHashMap<>();

    /** Stores a report unless a newer one of the same incarnation is known; evicts the oldest above the limits. */
    public void put(NodeId node, LedgerReport report) {
        LinkedHashMap<Long, LedgerReport> reports =
                reportsByNode.computeIfAbsent(node, absent -> new LinkedHashMap<>());
        LedgerReport known = reports.get(report.life());
        if (known == null || report.seq() > known.seq()) {
            reports.put(report.life(), report);
        }
        removeEldestAbove(MAX_INCARNATIONS, reports);
        removeEldestAbove(MAX_NODES, reportsByNode);
    }

    private static <K> void removeEldestAbove(int max, Map<K, ?> map) {
        if (map.size() > max) {
            map.remove(map.keySet().iterator().next());
        }
    }

    /** All reports by node, the oldest incarnation of each node first. */
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
