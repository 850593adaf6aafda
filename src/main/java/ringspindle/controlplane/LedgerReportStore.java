package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.NodeId;

/**
 * The newest ledger of each life of each data node that reports here. Lives are in the order in which they were first heard:
 * their numbers come from the time of day, which may go back. Pure; not thread safe.
 */
final class LedgerReportStore {
    /** Ours: so many lives of a node are kept, and so many nodes. */
    private static final int LIVES = 4;

    private static final int NODES_MAX = 10_000;

    /** One life's newest ledger. */
    record Entry(LedgerReport report, boolean newest) {}

    private final Map<NodeId, LinkedHashMap<Long, LedgerReport>> of = new LinkedHashMap<>();

    void put(NodeId node, LedgerReport r) {
        LinkedHashMap<Long, LedgerReport> lives = of.computeIfAbsent(node, k -> new LinkedHashMap<>());
        LedgerReport had = lives.get(r.life());
        if (had == null || r.seq() > had.seq()) {
            lives.put(r.life(), r);
        }
        if (lives.size() > LIVES) {
            lives.remove(lives.keySet().iterator().next());
        }
        if (of.size() > NODES_MAX) {
            of.remove(of.keySet().iterator().next());
        }
    }

    Map<NodeId, List<Entry>> all() {
        Map<NodeId, List<Entry>> out = new TreeMap<>();
        of.forEach((node, lives) -> {
            List<Entry> l = new ArrayList<>();
            lives.values().forEach(r -> l.add(new Entry(r, l.size() == lives.size() - 1)));
            out.put(node, l);
        });
        return out;
    }
}
