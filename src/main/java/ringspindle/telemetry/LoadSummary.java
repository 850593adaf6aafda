package ringspindle.telemetry;

import it.unimi.dsi.fastutil.longs.Long2IntRBTreeMap;
import it.unimi.dsi.fastutil.longs.Long2IntSortedMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectRBTreeMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectSortedMap;
import it.unimi.dsi.fastutil.longs.LongSortedSet;
import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message.HeartbeatRow;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.Message.TallyRow;

/**
 * Attempts by engine and kind of request, and how long ago each engine's own heartbeat was heard. Immutable. Summaries can
 * be merged in any order and grouping: {@code a.merge(b)} equals {@code b.merge(a)}, and {@link #NONE} changes nothing.
 */
public final class LoadSummary {
    /** Nothing seen. */
    public static final LoadSummary NONE = new LoadSummary();

    /** Most engines that a report may name, far more than a node talks to in its window. */
    static final int MAX_ROWS = 8192;

    /** By engine key; the array is by {@link RequestKind#code}, null where nothing was seen. */
    private final Long2ObjectSortedMap<AttemptCounts[]> attempts = new Long2ObjectRBTreeMap<>();
    /** By engine key, in ms. */
    private final Long2IntSortedMap heartbeatAgeMs = new Long2IntRBTreeMap();

    private LoadSummary() {}

    /** What a report says; numbers are as its source sent them. */
    public static LoadSummary of(Report report) {
        LoadSummary summary = new LoadSummary();
        for (TallyRow row : report.tallies()) {
            summary.add(row.engine(), row.kind(), counts(row));
        }
        for (HeartbeatRow row : report.heartbeats()) {
            summary.heartbeatAgeMs.merge(row.engine(), row.agoMs(), Math::min);
        }
        return summary;
    }

    private static AttemptCounts counts(TallyRow row) {
        LatencyHistogram latencies = new LatencyHistogram(row.b0(), row.b1(), row.b2(), row.b3(), row.b4(), row.b5());
        return new AttemptCounts(row.answered(), row.notRun(), row.failed(), row.running(), row.tokens(), latencies);
    }

    /** One engine and one kind, as one source saw it. */
    public static LoadSummary of(long engineKey, RequestKind kind, AttemptCounts counts) {
        LoadSummary summary = new LoadSummary();
        summary.add(engineKey, kind.code(), counts);
        return summary;
    }

    /** All together, each looked at once; the same as merging one after the other. */
    public static LoadSummary mergeAll(Iterable<LoadSummary> summaries) {
        LoadSummary merged = new LoadSummary();
        summaries.forEach(merged::addAll);
        return merged;
    }

    /** Both together. */
    public LoadSummary merge(LoadSummary other) {
        return mergeAll(List.of(this, other));
    }

    private void addAll(LoadSummary other) {
        other.heartbeatAgeMs.forEach((key, ageMs) -> heartbeatAgeMs.merge((long) key, (int) ageMs, Math::min));
        other.attempts.forEach((key, byKind) -> {
            for (int kind = 0; kind < byKind.length; kind++) {
                if (byKind[kind] != null) {
                    add(key, kind, byKind[kind]);
                }
            }
        });
    }

    private void add(long engineKey, int kind, AttemptCounts counts) {
        AttemptCounts[] byKind = attempts.computeIfAbsent(engineKey, key -> new AttemptCounts[RequestKind.COUNT]);
        byKind[kind] = byKind[kind] == null ? counts : byKind[kind].merge(counts);
    }

    /** Keys of the engines at which attempts were seen. */
    public LongSortedSet engineKeys() {
        return attempts.keySet();
    }

    /** Keys of the engines whose own heartbeat was heard. */
    public LongSortedSet heartbeatKeys() {
        return heartbeatAgeMs.keySet();
    }

    /** Attempts of one kind at one engine; {@link AttemptCounts#NONE} if none were seen. */
    public AttemptCounts counts(long engineKey, RequestKind kind) {
        AttemptCounts[] byKind = attempts.get(engineKey);
        return byKind == null || byKind[kind.code()] == null ? AttemptCounts.NONE : byKind[kind.code()];
    }

    /** Attempts of all kinds at one engine; {@link AttemptCounts#NONE} if none were seen. */
    public AttemptCounts counts(long engineKey) {
        AttemptCounts sum = AttemptCounts.NONE;
        for (RequestKind kind : RequestKind.values()) {
            sum = sum.merge(counts(engineKey, kind));
        }
        return sum;
    }

    /** How long ago the engine's own heartbeat was heard, in ms; below 0 if it was not. */
    public int heartbeatAgeMs(long engineKey) {
        return heartbeatAgeMs.getOrDefault(engineKey, -1);
    }

    /**
     * The summary as it is sent. Counts that do not fit their field are sent as the largest that does.
     *
     * @param life incarnation of the sender
     * @param seq number of the report within it
     */
    public Report toReport(long life, long seq) {
        List<TallyRow> rows = new ArrayList<>();
        attempts.forEach((key, byKind) -> {
            for (int kind = 0; kind < byKind.length; kind++) {
                if (byKind[kind] != null && !byKind[kind].isEmpty()) {
                    rows.add(row(key, kind, byKind[kind]));
                }
            }
        });
        List<HeartbeatRow> heartbeats = new ArrayList<>();
        heartbeatAgeMs.forEach((key, ageMs) -> heartbeats.add(new HeartbeatRow(key, ageMs)));
        return new Report(life, seq, rows, heartbeats, List.of());
    }

    private static TallyRow row(long engineKey, int kind, AttemptCounts counts) {
        LatencyHistogram latencies = counts.latencies();
        return new TallyRow(
                engineKey,
                kind,
                WireLimits.u16(counts.answered()),
                WireLimits.u16(counts.notRun()),
                WireLimits.u16(counts.failed()),
                WireLimits.u16(counts.running()),
                WireLimits.u32(counts.tokens()),
                WireLimits.u16(latencies.upTo50Ms()),
                WireLimits.u16(latencies.upTo150Ms()),
                WireLimits.u16(latencies.upTo400Ms()),
                WireLimits.u16(latencies.upTo1000Ms()),
                WireLimits.u16(latencies.upTo2500Ms()),
                WireLimits.u16(latencies.over2500Ms()));
    }

    /** True if a report of this would say nothing. */
    public boolean isEmpty() {
        if (!heartbeatAgeMs.isEmpty()) {
            return false;
        }
        for (AttemptCounts[] byKind : attempts.values()) {
            for (AttemptCounts counts : byKind) {
                if (counts != null && !counts.isEmpty()) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Equal summaries are sent as equal reports. */
    @Override
    public boolean equals(Object other) {
        return other instanceof LoadSummary summary && toReport(0, 0).equals(summary.toReport(0, 0));
    }

    @Override
    public int hashCode() {
        return toReport(0, 0).hashCode();
    }

    @Override
    public String toString() {
        return toReport(0, 0).toString();
    }
}
