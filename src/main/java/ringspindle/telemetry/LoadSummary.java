package ringspindle.telemetry;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import it.unimi.dsi.fastutil.longs.Long2IntRBTreeMap;
import it.unimi.dsi.fastutil.longs.Long2IntSortedMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectRBTreeMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectSortedMap;
import it.unimi.dsi.fastutil.longs.LongSortedSet;
import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message.HeartbeatRow;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.Message.SourceRow;
import ringspindle.protocol.Message.TallyRow;

/**
 * Tallies by engine and kind, and when each engine's own heartbeat was last heard. Sums can be added in any order and
 * grouping: {@code a.merge(b)} equals {@code b.merge(a)}, and {@code NONE} changes nothing.
 */
public final class LoadSummary {
    /** Nothing seen. */
    public static final LoadSummary NONE = new LoadSummary(new Long2ObjectRBTreeMap<>(), new Long2IntRBTreeMap());

    private static final int U16 = 65534;
    private static final long U32 = 4294967294L;
    /** Ours: a report names at most so many engines, far more than a node talks to in its window. */
    static final int ROWS_MAX = 8192;

    private final Long2ObjectSortedMap<AttemptCounts[]> tallies;
    private final Long2IntSortedMap agoMs;

    private LoadSummary(Long2ObjectSortedMap<AttemptCounts[]> tallies, Long2IntSortedMap agoMs) {
        this.tallies = tallies;
        this.agoMs = agoMs;
    }

    /** How an engine is named in sums; {@code LoadSummary.key("i-7f3a91c2")}. */
    public static long key(String engine) {
        return Hashing.murmur3_128().hashString(engine, UTF_8).asLong();
    }

    /** What a report says; numbers are as its source sent them. {@code LoadSummary.of(report)}. */
    public static LoadSummary of(Report r) {
        LoadSummary out = new LoadSummary(new Long2ObjectRBTreeMap<>(), new Long2IntRBTreeMap());
        for (TallyRow t : r.tallies()) {
            out.add(
                    t.engine(),
                    t.kind(),
                    new AttemptCounts(t.answered(), t.notRun(), t.failed(), t.running(), t.tokens(), new int[] {
                        t.b0(), t.b1(), t.b2(), t.b3(), t.b4(), t.b5()
                    }));
        }
        for (HeartbeatRow h : r.heartbeats()) {
            out.agoMs.merge(h.engine(), h.agoMs(), Math::min);
        }
        return out;
    }

    /** One engine seen by one source; {@code LoadSummary.of(LoadSummary.key("i-1"), RequestKind.SHORT, tally)}. */
    public static LoadSummary of(long engine, RequestKind kind, AttemptCounts t) {
        LoadSummary out = new LoadSummary(new Long2ObjectRBTreeMap<>(), new Long2IntRBTreeMap());
        out.add(engine, kind.ordinal(), t);
        return out;
    }

    /** All together, each looked at once; {@code LoadSummary.all(List.of(a, b))} equals {@code a.merge(b)}. */
    public static LoadSummary all(Iterable<LoadSummary> sums) {
        LoadSummary out = new LoadSummary(new Long2ObjectRBTreeMap<>(), new Long2IntRBTreeMap());
        sums.forEach(out::addAll);
        return out;
    }

    /** Both together. */
    public LoadSummary merge(LoadSummary o) {
        return all(List.of(this, o));
    }

    private void addAll(LoadSummary o) {
        o.agoMs.forEach((k, v) -> agoMs.merge((long) k, (int) v, Math::min));
        o.tallies.forEach((k, byKind) -> {
            for (int i = 0; i < byKind.length; i++) {
                if (byKind[i] != null) {
                    add(k, i, byKind[i]);
                }
            }
        });
    }

    private void add(long engine, int kind, AttemptCounts t) {
        AttemptCounts[] of = tallies.computeIfAbsent(engine, k -> new AttemptCounts[RequestKind.values().length]);
        of[kind] = of[kind] == null ? t : of[kind].merge(t);
    }

    /** Engines of which anything was seen. */
    public LongSortedSet engines() {
        return tallies.keySet();
    }

    /** Engines whose own heartbeat was heard. */
    public LongSortedSet heartbeats() {
        return agoMs.keySet();
    }

    /** One kind at one engine; NONE if nothing was seen. */
    public AttemptCounts of(long engine, RequestKind kind) {
        AttemptCounts[] of = tallies.get(engine);
        return of == null || of[kind.ordinal()] == null ? AttemptCounts.NONE : of[kind.ordinal()];
    }

    /** All kinds at one engine; {@code sum.all(LoadSummary.key("i-1")).running()}. */
    public AttemptCounts all(long engine) {
        AttemptCounts out = AttemptCounts.NONE;
        for (RequestKind k : RequestKind.values()) {
            out = out.merge(of(engine, k));
        }
        return out;
    }

    /** How long ago the engine's own heartbeat was heard, below 0 if it was not. */
    public int agoMs(long engine) {
        return agoMs.getOrDefault(engine, -1);
    }

    /** As it goes out; counts that do not fit their field stay at its end. {@code sum.report(life, seq)}. */
    public Report report(long life, long seq) {
        return report(life, seq, List.of());
    }

    /** The same, with the sources it was summed from. */
    public Report report(long life, long seq, List<SourceRow> sources) {
        List<TallyRow> rows = new ArrayList<>();
        tallies.forEach((engine, byKind) -> {
            for (int i = 0; i < byKind.length; i++) {
                AttemptCounts t = byKind[i];
                if (t != null && !t.empty()) {
                    int[] f = t.firsts();
                    rows.add(new TallyRow(
                            engine,
                            i,
                            u16(t.answered()),
                            u16(t.notRun()),
                            u16(t.failed()),
                            u16(t.running()),
                            Math.min(U32, t.tokens()),
                            u16(f[0]),
                            u16(f[1]),
                            u16(f[2]),
                            u16(f[3]),
                            u16(f[4]),
                            u16(f[5])));
                }
            }
        });
        List<HeartbeatRow> beats = new ArrayList<>();
        agoMs.forEach((engine, ago) -> beats.add(new HeartbeatRow(engine, ago)));
        return new Report(life, seq, rows, beats, sources);
    }

    private static int u16(int n) {
        return Math.min(U16, n);
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof LoadSummary s && report(0, 0).equals(s.report(0, 0));
    }

    @Override
    public int hashCode() {
        return report(0, 0).hashCode();
    }

    @Override
    public String toString() {
        return report(0, 0).toString();
    }
}
