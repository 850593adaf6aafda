package ringspindle.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.protocol.Message.OutcomeRow;
import ringspindle.protocol.Message.Outcomes;

/**
 * Outcomes that a data node counted since its start, by experiment and cell. Reports hold sums since the start, so that one
 * that is lost or comes twice changes nothing. Thread safe.
 */
public final class OutcomeTable {
    /** The largest part of the target that counts, in thousandths. */
    static final int USE_MAX = 2000;

    private static final int WHOLE = 1000;

    private final Map<Long, Map<Cell, Counts>> counts = new TreeMap<>();
    private final Map<Long, Set<Cell>> changed = new HashMap<>();

    /**
     * Counts the end of a request.
     *
     * @param inTarget answered whole, in time and without a pause that is too long
     * @param firstByteMs time to the first byte, in ms; below 0 if none came
     * @param targetMs the route's latency target, in ms
     */
    public synchronized void add(Assignment assignment, boolean inTarget, long firstByteMs, long targetMs) {
        Cell cell = new Cell(assignment.side(), assignment.route(), assignment.group());
        long use = firstByteMs < 0 ? USE_MAX : Math.min(USE_MAX, firstByteMs * WHOLE / Math.max(1, targetMs));
        counts.computeIfAbsent(assignment.experiment(), id -> new HashMap<>())
                .merge(cell, new Counts(1, inTarget ? 0 : 1, use), Counts::plus);
        changed.computeIfAbsent(assignment.experiment(), id -> new HashSet<>()).add(cell);
    }

    /** Counts of experiments that are over are of no use any more. */
    public synchronized void retain(Set<Long> openExperiments) {
        counts.keySet().retainAll(openExperiments);
        changed.keySet().retainAll(openExperiments);
    }

    /**
     * One report for each experiment with something to tell.
     *
     * @param whole all cells, for a collector that knows nothing yet; else those that changed since the last report
     */
    public synchronized List<Outcomes> report(long life, long sequence, String region, boolean whole) {
        List<Outcomes> reports = new ArrayList<>();
        counts.forEach((experiment, cells) -> {
            Set<Cell> told = whole ? cells.keySet() : changed.getOrDefault(experiment, Set.of());
            List<OutcomeRow> rows = new ArrayList<>();
            for (Cell cell : told) {
                rows.add(row(cell, cells.get(cell)));
            }
            if (!rows.isEmpty()) {
                reports.add(new Outcomes(life, sequence, experiment, region, List.of(), rows));
            }
        });
        changed.clear();
        return reports;
    }

    static OutcomeRow row(Cell cell, Counts counts) {
        return new OutcomeRow(cell.side(), cell.route(), cell.group(), counts.requests(), counts.bad(), counts.use());
    }
}
