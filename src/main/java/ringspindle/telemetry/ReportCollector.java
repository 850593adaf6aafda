package ringspindle.telemetry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.protocol.Message.HeartbeatRow;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.Message.SourceRow;
import ringspindle.protocol.Message.TallyRow;
import ringspindle.protocol.NodeId;

/**
 * The newest report of each source, and their sum, which is computed anew each time: a report that comes twice, late or by
 * a second way adds nothing. Reports expire on steady time. A state machine without a clock; not thread safe.
 */
public final class ReportCollector {
    /** How long it is remembered what an expired source reported last, so that nothing older counts again, in ms. */
    private static final int MEMORY_MS = 600_000;

    /**
     * The newest report that is known of a source.
     *
     * @param withdrawn whether it counts no more, and is known only so that nothing older counts again
     */
    private record SourceReport(long life, long seq, LoadSummary summary, long receivedMs, boolean withdrawn) {
        boolean isOlderThan(long otherLife, long otherSeq) {
            return otherLife > life || (otherLife == life && otherSeq > seq);
        }
    }

    private final int ttlMs;
    private final Map<NodeId, SourceReport> newest = new TreeMap<>();
    private final Map<ReportVerdict, Long> verdicts = new EnumMap<>(ReportVerdict.class);

    /**
     * An empty collector.
     *
     * @param ttlMs how long a report counts, in ms
     */
    public ReportCollector(int ttlMs) {
        this.ttlMs = ttlMs;
    }

    /** A report came; it counts from now on if the verdict is {@link ReportVerdict#NEWEST}. */
    public ReportVerdict accept(NodeId source, Report report, long nowMs) {
        ReportVerdict verdict = judge(source, report);
        verdicts.merge(verdict, 1L, Long::sum);
        if (verdict == ReportVerdict.NEWEST) {
            newest.put(source, new SourceReport(report.life(), report.seq(), LoadSummary.of(report), nowMs, false));
        }
        return verdict;
    }

    private ReportVerdict judge(NodeId source, Report report) {
        if (report.tallies().size() > LoadSummary.MAX_ROWS
                || report.heartbeats().size() > LoadSummary.MAX_ROWS) {
            return ReportVerdict.OVERSIZED;
        }
        if (isGarbled(report)) {
            return ReportVerdict.GARBLED;
        }
        SourceReport known = newest.get(source);
        boolean isNewer = known == null || known.isOlderThan(report.life(), report.seq());
        return isNewer ? ReportVerdict.NEWEST : ReportVerdict.OLD;
    }

    private static boolean isGarbled(Report report) {
        for (TallyRow row : report.tallies()) {
            if (row.kind() >= RequestKind.COUNT || row.tokens() < 0) {
                return true;
            }
        }
        for (HeartbeatRow row : report.heartbeats()) {
            if (row.agoMs() < 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * A source says in a new session which incarnation it is: what it reported as another counts no more, and that one may
     * have the higher number if the time of day went back.
     */
    public void onSessionOpened(NodeId source, long life) {
        SourceReport known = newest.get(source);
        if (known != null && known.life() != life) {
            newest.remove(source);
        }
    }

    /** The session with the source ended: what it reported counts no more until it reports anew. */
    public void onSessionClosed(NodeId source) {
        SourceReport known = newest.get(source);
        if (known != null) {
            newest.put(source, withdrawn(known.life(), known.seq(), known));
        }
    }

    /** Another collector counts that report of the source: what it reported here before counts no more. */
    public void onReportedElsewhere(NodeId source, long life, long seq) {
        SourceReport known = newest.get(source);
        if (known != null && known.isOlderThan(life, seq)) {
            newest.put(source, withdrawn(life, seq, known));
        }
    }

    private static SourceReport withdrawn(long life, long seq, SourceReport known) {
        return new SourceReport(life, seq, LoadSummary.NONE, known.receivedMs(), true);
    }

    /** The sum of the newest reports that have not expired. Forgets sources that have been silent for very long. */
    public LoadSummary sum(long nowMs) {
        newest.values().removeIf(report -> nowMs - report.receivedMs() > Math.max(ttlMs, MEMORY_MS));
        List<LoadSummary> counted = new ArrayList<>();
        for (SourceReport report : newest.values()) {
            if (counts(report, nowMs)) {
                counted.add(report.summary());
            }
        }
        return LoadSummary.mergeAll(counted);
    }

    private boolean counts(SourceReport report, long nowMs) {
        return nowMs - report.receivedMs() <= ttlMs;
    }

    /** The reports that count here, for other collectors that may hold older ones of the same sources. */
    public List<SourceRow> countedReports(long nowMs) {
        List<SourceRow> rows = new ArrayList<>();
        newest.forEach((source, report) -> {
            if (counts(report, nowMs) && !report.withdrawn()) {
                rows.add(new SourceRow(source, report.life(), report.seq()));
            }
        });
        return rows;
    }

    /** Sources whose report has not expired. */
    public Set<NodeId> sources(long nowMs) {
        Set<NodeId> sources = new TreeSet<>();
        newest.forEach((source, report) -> {
            if (counts(report, nowMs)) {
                sources.add(source);
            }
        });
        return sources;
    }

    /** How many reports had that verdict. */
    public long count(ReportVerdict verdict) {
        return verdicts.getOrDefault(verdict, 0L);
    }
}
