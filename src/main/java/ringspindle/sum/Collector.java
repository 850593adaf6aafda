package ringspindle.sum;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.wire.Msg.HeartbeatRow;
import ringspindle.wire.Msg.Report;
import ringspindle.wire.Msg.SourceRow;
import ringspindle.wire.Msg.TallyRow;
import ringspindle.wire.NodeId;

/**
 * The newest report of each source, and their sum, computed anew each time: a resend, a reorder or a second way in adds
 * nothing. Reports expire on steady time. Pure; not thread safe.
 */
public final class Collector {
    private record Held(long life, long seq, Sum sum, long atMs) {}

    /** Ours: how long it is remembered what an expired source said last, so that nothing older counts again. */
    private static final int MEMORY_MS = 600_000;

    private final int ttlMs;
    private final Map<NodeId, Held> newest = new TreeMap<>();
    private final long[] counts = new long[Taken.values().length];

    /** {@code new Collector(2000)} forgets a source that was silent for two seconds. */
    public Collector(int ttlMs) {
        this.ttlMs = ttlMs;
    }

    /** A report came; {@code collector.take(from, report, nowMs)} is NEWEST if it counts from now on. */
    public Taken take(NodeId source, Report r, long nowMs) {
        Taken t = judge(source, r);
        counts[t.ordinal()]++;
        if (t == Taken.NEWEST) {
            newest.put(source, new Held(r.life(), r.seq(), Sum.of(r), nowMs));
        }
        return t;
    }

    private Taken judge(NodeId source, Report r) {
        if (r.tallies().size() > Sum.ROWS_MAX || r.heartbeats().size() > Sum.ROWS_MAX) {
            return Taken.OVERSIZED;
        }
        for (TallyRow t : r.tallies()) {
            if (t.kind() >= Kind.values().length || t.tokens() < 0) {
                return Taken.GARBLED;
            }
        }
        for (HeartbeatRow h : r.heartbeats()) {
            if (h.agoMs() < 0) {
                return Taken.GARBLED;
            }
        }
        Held had = newest.get(source);
        boolean newer = had == null || r.life() > had.life() || r.life() == had.life() && r.seq() > had.seq();
        return newer ? Taken.NEWEST : Taken.OLD;
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
    public Sum sum(long nowMs) {
        List<Sum> count = new ArrayList<>();
        for (Iterator<Held> it = newest.values().iterator(); it.hasNext(); ) {
            Held h = it.next();
            if (nowMs - h.atMs() <= ttlMs) {
                count.add(h.sum());
            } else if (nowMs - h.atMs() > MEMORY_MS) {
                it.remove();
            }
        }
        return Sum.all(count);
    }

    /** The source has gone elsewhere with that report, or ended: what it said here before counts no more. */
    public void leave(NodeId source, long life, long seq) {
        Held h = newest.get(source);
        if (h != null && (life > h.life() || life == h.life() && seq > h.seq())) {
            newest.put(source, new Held(life, seq, Sum.NONE, h.atMs()));
        }
    }

    /** The session with the source ended; {@code collector.drop(node)} until it reports anew. */
    public void drop(NodeId source) {
        Held h = newest.get(source);
        if (h != null) {
            newest.put(source, new Held(h.life(), h.seq(), Sum.NONE, h.atMs()));
        }
    }

    /** What this collector counts, for others that may hold something older of the same sources. */
    public List<SourceRow> holds(long nowMs) {
        List<SourceRow> out = new ArrayList<>();
        newest.forEach((k, h) -> {
            if (nowMs - h.atMs() <= ttlMs && h.sum() != Sum.NONE) {
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

    /** How many reports became what; {@code collector.count(Taken.GARBLED)}. */
    public long count(Taken t) {
        return counts[t.ordinal()];
    }
}
