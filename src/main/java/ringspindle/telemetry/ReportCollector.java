package ringspindle.telemetry;

import java.util.ArrayList;
import java.util.Iterator;
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
 * The newest report of each source, and their sum, computed anew each time: a resend, a reorder or a second way in adds
 * nothing. Reports expire on steady time. Pure; not thread safe.
 */
public final class ReportCollector {
    private record Held(long life, long seq, LoadSummary sum, long atMs) {}

    /** Ours: how long it is remembered what an expired source said last, so that nothing older counts again. */
    private static final int MEMORY_MS = 600_000;

    private final int ttlMs;
    private final Map<NodeId, Held> newest = new TreeMap<>();
    private final long[] counts = new long[ReportVerdict.values().length];

    /** {@code new ReportCollector(2000)} forgets a source that was silent for two seconds. */
    public ReportCollector(int ttlMs) {
        this.ttlMs = ttlMs;
    }

    /** A report came; {@code collector.take(from, report, nowMs)} is NEWEST if it counts from now on. */
    public ReportVerdict take(NodeId source, Report r, long nowMs) {
        ReportVerdict t = judge(source, r);
        counts[t.ordinal()]++;
        if (t == ReportVerdict.NEWEST) {
            newest.put(source, new Held(r.life(), r.seq(), LoadSummary.of(r), nowMs));
        }
        return t;
    }

    private ReportVerdict judge(NodeId source, Report r) {
        if (r.tallies().size() > LoadSummary.ROWS_MAX || r.heartbeats().size() > LoadSummary.ROWS_MAX) {
            return ReportVerdict.OVERSIZED;
        }
        for (TallyRow t : r.tallies()) {
            if (t.kind() >= RequestKind.values().length || t.tokens() < 0) {
                return ReportVerdict.GARBLED;
            }
        }
        for (HeartbeatRow h : r.heartbeats()) {
            if (h.agoMs() < 0) {
                return ReportVerdict.GARBLED;
            }
        }
        Held had = newest.get(source);
        boolean newer = had == null || r.life() > had.life() || r.life() == had.life() && r.seq() > had.seq();
        return newer ? ReportVerdict.NEWEST : ReportVerdict.OLD;
    }

    /**
     * A source says in a new session which life it is in: what it said in another counts no more, and that life may have the
     * higher number if the time of day went back. {@code collector.restarted(node, hello.life())}.
     */
    public void restarted(NodeId source, long life) {
        Held h = newest.get(source);
        if (h != null && h.life() != life) {
            newest.remove(source);
        }
    }

    /** The sum of the newest reports that have not expired. */
    public LoadSummary sum(long nowMs) {
        List<LoadSummary> count = new ArrayList<>();
        for (Iterator<Held> it = newest.values().iterator(); it.hasNext(); ) {
            Held h = it.next();
            if (nowMs - h.atMs() <= ttlMs) {
                count.add(h.sum());
            } else if (nowMs - h.atMs() > MEMORY_MS) {
                it.remove();
            }
        }
        return LoadSummary.all(count);
    }

    /** The source has gone elsewhere with that report, or ended: what it said here before counts no more. */
    public void leave(NodeId source, long life, long seq) {
        Held h = newest.get(source);
        if (h != null && (life > h.life() || life == h.life() && seq > h.seq())) {
            newest.put(source, new Held(life, seq, LoadSummary.NONE, h.atMs()));
        }
    }

    /** The session with the source ended; {@code collector.drop(node)} until it reports anew. */
    public void drop(NodeId source) {
        Held h = newest.get(source);
        if (h != null) {
            newest.put(source, new Held(h.life(), h.seq(), LoadSummary.NONE, h.atMs()));
        }
    }

    /** What this collector counts, for others that may hold something older of the same sources. */
    public List<SourceRow> holds(long nowMs) {
        List<SourceRow> out = new ArrayList<>();
        newest.forEach((k, h) -> {
            if (nowMs - h.atMs() <= ttlMs && h.sum() != LoadSummary.NONE) {
                out.add(new SourceRow(k, h.life(), h.seq()));
            }
        });
        return out;
    }

    /** Sources that count now; {@code collector.sources(nowMs).contains(node)}. */
    public Set<NodeId> sources(long nowMs) {
        Set<NodeId> out = new TreeSet<>();
        newest.forEach((k, h) -> {
            if (nowMs - h.atMs() <= ttlMs) {
                out.add(k);
            }
        });
        return out;
    }

    /** How long ago a source's report came in, below 0 if it has none. */
    public long ageMs(NodeId source, long nowMs) {
        Held h = newest.get(source);
        return h == null ? -1 : nowMs - h.atMs();
    }

    /** How many reports became what; {@code collector.count(ReportVerdict.GARBLED)}. */
    public long count(ReportVerdict t) {
        return counts[t.ordinal()];
    }
}
