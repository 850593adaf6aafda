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
import ringspindle.protocol.Message.SourceRow;
import ringspindle.protocol.NodeId;

/**
 * Sums outcomes at a control node: those of data nodes that report here, and the sums of other control nodes. Each
 * incarnation of a data node counts once: of two control nodes that hold it the one with the older report drops it. What an
 * incarnation that is gone had counted still counts. Not thread safe.
 */
public final class OutcomeCollector {
    /** A sum of another control node counts for so long; it is told anew every second. */
    private static final long SUM_TTL_MS = 5000;

    /** An incarnation of a data node, in one experiment. */
    private record Source(long experiment, NodeId node, long life) {}

    private static final class Holding {
        String region;
        long sequence;
        final Map<Cell, Counts> cells = new HashMap<>();
    }

    /** What another control node summed for one experiment and region. */
    private record SumKey(long experiment, String region, NodeId from) {}

    private record Heard(Outcomes sum, long atMs) {}

    /**
     * All outcomes of an experiment.
     *
     * @param byRegion counts by region and cell
     * @param consistent no source is counted by two control nodes at the moment
     */
    public record Totals(Map<String, Map<Cell, Counts>> byRegion, boolean consistent) {
        /** Counts of all regions together, by cell. */
        Map<Cell, Counts> overRegions() {
            Map<Cell, Counts> all = new HashMap<>();
            for (Map<Cell, Counts> cells : byRegion.values()) {
                cells.forEach((cell, counts) -> all.merge(cell, counts, Counts::plus));
            }
            return all;
        }

        /** Requests of all regions and cells. */
        public long requests() {
            long requests = 0;
            for (Map<Cell, Counts> cells : byRegion.values()) {
                for (Counts counts : cells.values()) {
                    requests += counts.requests();
                }
            }
            return requests;
        }
    }

    private final Map<Source, Holding> holdings = new HashMap<>();
    private final Map<SumKey, Heard> sums = new HashMap<>();
    /** Of which experiments and regions this node has told sums: what it holds no longer it takes back. */
    private final Map<Long, Set<String>> told = new TreeMap<>();

    /** A data node's report. */
    public void reported(NodeId node, Outcomes report) {
        Holding holding =
                holdings.computeIfAbsent(new Source(report.experiment(), node, report.life()), source -> new Holding());
        if (report.seq() <= holding.sequence) {
            return;
        }
        holding.sequence = report.seq();
        holding.region = report.region();
        for (OutcomeRow row : report.rows()) {
            holding.cells.put(cell(row), counts(row));
        }
    }

    private static Cell cell(OutcomeRow row) {
        return new Cell(row.side(), row.route(), row.group());
    }

    private static Counts counts(OutcomeRow row) {
        return new Counts(row.requests(), row.bad(), row.use());
    }

    /** The sum of another control node; a source of which it has a newer report than this node is dropped here. */
    public void summed(NodeId from, Outcomes sum, long nowMs) {
        SumKey key = new SumKey(sum.experiment(), sum.region(), from);
        Heard known = sums.get(key);
        if (known != null && known.sum().life() == sum.life() && known.sum().seq() >= sum.seq()) {
            return;
        }
        sums.put(key, new Heard(sum, nowMs));
        for (SourceRow source : sum.sources()) {
            Source here = new Source(sum.experiment(), source.node(), source.life());
            Holding held = holdings.get(here);
            if (held != null && held.sequence < source.seq()) {
                holdings.remove(here);
            }
        }
    }

    /** Forgets what experiments that are over had counted. */
    public void retain(Set<Long> openExperiments) {
        holdings.keySet().removeIf(source -> !openExperiments.contains(source.experiment()));
        sums.keySet().removeIf(key -> !openExperiments.contains(key.experiment()));
        told.keySet().retainAll(openExperiments);
    }

    /** What this node summed itself, for other control nodes: one message for each experiment and region. */
    public List<Outcomes> ownSums(long life, long sequence) {
        Map<Long, Map<String, List<Source>>> bySum = new TreeMap<>();
        told.forEach((experiment, regions) -> regions.forEach(region ->
                bySum.computeIfAbsent(experiment, id -> new TreeMap<>()).put(region, new ArrayList<>())));
        holdings.forEach((source, holding) -> bySum.computeIfAbsent(source.experiment(), id -> new TreeMap<>())
                .computeIfAbsent(holding.region, region -> new ArrayList<>())
                .add(source));
        List<Outcomes> own = new ArrayList<>();
        bySum.forEach((experiment, byRegion) -> byRegion.forEach((region, sources) -> {
            told.computeIfAbsent(experiment, id -> new HashSet<>()).add(region);
            own.add(sum(life, sequence, experiment, region, sources));
        }));
        return own;
    }

    private Outcomes sum(long life, long sequence, long experiment, String region, List<Source> sources) {
        Map<Cell, Counts> cells = new HashMap<>();
        List<SourceRow> rows = new ArrayList<>();
        for (Source source : sources) {
            Holding holding = holdings.get(source);
            rows.add(new SourceRow(source.node(), source.life(), holding.sequence));
            holding.cells.forEach((cell, counts) -> cells.merge(cell, counts, Counts::plus));
        }
        List<OutcomeRow> outcomes = new ArrayList<>();
        cells.forEach((cell, counts) -> outcomes.add(OutcomeTable.row(cell, counts)));
        return new Outcomes(life, sequence, experiment, region, rows, outcomes);
    }

    /**
     * All that is known of an experiment, here and at other control nodes. The sum of one that is not heard any more counts no
     * longer: its data nodes tell another one all they counted, and only what incarnations that are gone had told it is lost.
     */
    public Totals totals(long experiment, long nowMs) {
        sums.values().removeIf(heard -> nowMs - heard.atMs() > SUM_TTL_MS);
        Map<String, Map<Cell, Counts>> byRegion = new TreeMap<>();
        Set<Source> seen = new HashSet<>();
        holdings.forEach((source, holding) -> {
            if (source.experiment() == experiment) {
                seen.add(source);
                holding.cells.forEach((cell, counts) -> add(byRegion, holding.region, cell, counts));
            }
        });
        boolean consistent = true;
        for (Heard heard : sums.values()) {
            Outcomes sum = heard.sum();
            if (sum.experiment() != experiment) {
                continue;
            }
            for (SourceRow source : sum.sources()) {
                consistent &= seen.add(new Source(experiment, source.node(), source.life()));
            }
            sum.rows().forEach(row -> add(byRegion, sum.region(), cell(row), counts(row)));
        }
        return new Totals(byRegion, consistent);
    }

    private static void add(Map<String, Map<Cell, Counts>> byRegion, String region, Cell cell, Counts counts) {
        byRegion.computeIfAbsent(region, name -> new HashMap<>()).merge(cell, counts, Counts::plus);
    }
}
