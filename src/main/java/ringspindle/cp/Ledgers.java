package ringspindle.cp;

import java.util.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

/** The newest ledger of each life of each data node that reports here. Pure; not thread safe. */
final class Ledgers {
    /** Ours: so many lives of a node are kept, and so many nodes. */
    private static final int LIVES = 4;
    private static final int NODES_MAX = 10_000;

    /** One life's newest ledger. */
    record Life(LedgerReport report, boolean newest) {
    }

    private final Map<NodeId, TreeMap<Long, LedgerReport>> of = new LinkedHashMap<>();

    void take(NodeId node, LedgerReport r) {
        TreeMap<Long, LedgerReport> lives = of.computeIfAbsent(node, k -> new TreeMap<>());
        LedgerReport had = lives.get(r.life());
        if (had == null || r.seq() > had.seq()) {
            lives.put(r.life(), r);
        }
        if (lives.size() > LIVES) {
            lives.pollFirstEntry();
        }
        if (of.size() > NODES_MAX) {
            of.remove(of.keySet().iterator().next());
        }
    }

    Map<NodeId, List<Life>> all() {
        Map<NodeId, List<Life>> out = new TreeMap<>();
        of.forEach((node, lives) -> {
            List<Life> l = new ArrayList<>();
            lives.forEach((life, r) -> l.add(new Life(r, life.equals(lives.lastKey()))));
            out.put(node, l);
        });
        return out;
    }
}
