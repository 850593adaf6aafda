package ringspindle.telemetry;

import it.unimi.dsi.fastutil.longs.Long2ObjectMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectRBTreeMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.HeartbeatRow;

/**
 * Engines' own heartbeats as one control node knows them: those it heard itself, and how long ago its region's other
 * control nodes heard theirs. Only what changes is news: an engine that is new or says something else, one that fell
 * silent, one that is heard again. Pure; not thread safe.
 */
public final class EnginePresence {
    /** Ours: an engine may miss three heartbeats. */
    private static final double SILENT_BEATS = 3.2;
    /** Ours: after a start of this node engines get this long to find it. */
    private static final int START_MS = 5000;
    /** Ours: how far a cold engine may be from what it said before that is news. */
    private static final int COLD_SLACK_MS = 600;

    private static final class Row {
        final String id;
        Engine said;
        long seq = -1;
        long saidMs;
        long ownMs = Long.MIN_VALUE / 2;
        long evidenceMs;
        boolean silent;

        Row(String id, long evidenceMs) {
            this.id = id;
            this.evidenceMs = evidenceMs;
        }
    }

    /** An engine that fell silent or is heard again, with the last heartbeat's number that this rests on. */
    public record Change(String id, boolean silent, long seq) {}

    private final int silentMs;
    private final int beatMs;
    private final Long2ObjectMap<Row> rows = new Long2ObjectRBTreeMap<>();
    private final Map<String, Row> byAddress = new HashMap<>();
    private long startMs = Long.MIN_VALUE;

    /** {@code new EnginePresence(1200)} for engines that beat every 1.2 s. */
    public EnginePresence(int beatMs) {
        this.beatMs = beatMs;
        silentMs = (int) (SILENT_BEATS * beatMs);
    }

    private Row row(String id, long nowMs) {
        startMs = startMs == Long.MIN_VALUE ? nowMs : startMs;
        return rows.computeIfAbsent(LoadSummary.key(id), k -> new Row(id, Math.max(nowMs, startMs + START_MS)));
    }

    /**
     * The engine called here. A call that was overtaken by a later one shows nothing: neither that the engine lives now, nor
     * that it is still the one at its address.
     *
     * @return true if what it says is news
     */
    public boolean heard(String id, Engine e, long seq, long nowMs) {
        Row r = row(id, nowMs);
        if (seq < r.seq) {
            return false;
        }
        r.ownMs = nowMs;
        r.evidenceMs = Math.max(r.evidenceMs, nowMs);
        Row before = byAddress.put(e.address(), r);
        if (before != null && before != r) {
            // another life answers at that address now
            before.evidenceMs = Long.MIN_VALUE / 2;
        }
        boolean news = seq > r.seq && (r.said == null || differs(r, e, nowMs));
        r.seq = Math.max(r.seq, seq);
        if (news) {
            r.said = e;
            r.saidMs = nowMs;
        }
        return news;
    }

    private static boolean differs(Row r, Engine e, long nowMs) {
        Engine o = r.said;
        long leftMs = Math.max(0, o.coldMs() - (nowMs - r.saidMs));
        return o.capacity() != e.capacity()
                || o.draining() != e.draining()
                || o.weights() != e.weights()
                || o.remainingMs() != e.remainingMs()
                || !o.service().equals(e.service())
                || !o.address().equals(e.address())
                || !o.zone().equals(e.zone())
                || !o.revision().equals(e.revision())
                || Math.abs(e.coldMs() - leftMs) > COLD_SLACK_MS
                || o.coldMs() > 0 && e.coldMs() == 0;
    }

    /** Another node passed on what the engine said; what was said here last still counts if it is newer. */
    public void told(String id, Engine e, long seq, long nowMs) {
        Row r = row(id, nowMs);
        if (seq > r.seq || r.said == null) {
            r.seq = Math.max(r.seq, seq);
            r.said = e;
            r.saidMs = nowMs;
            byAddress.putIfAbsent(e.address(), r);
        }
    }

    /** What the region's other control nodes heard. */
    public void peers(LoadSummary s, long nowMs) {
        for (long key : s.heartbeats()) {
            Row r = rows.get(key);
            if (r != null) {
                r.evidenceMs = Math.max(r.evidenceMs, nowMs - s.agoMs(key));
            }
        }
    }

    /** Of the engines of this region: who fell silent, who is heard again; {@code judge(e -> inRegion(e), nowMs)}. */
    public List<Change> judge(java.util.function.Predicate<Engine> own, long nowMs) {
        List<Change> out = new ArrayList<>();
        for (Row r : rows.values()) {
            if (r.said == null || !own.test(r.said)) {
                continue;
            }
            boolean silent = nowMs - r.evidenceMs > silentMs;
            if (silent != r.silent) {
                r.silent = silent;
                out.add(new Change(r.id, silent, r.seq));
            }
        }
        return out;
    }

    /** Another node says that an engine is silent, resting on that heartbeat; true if this node knows better. */
    public boolean contradicts(String id, long seq, long nowMs) {
        Row r = rows.get(LoadSummary.key(id));
        if (r == null) {
            return false;
        }
        boolean better = r.seq > seq && nowMs - r.ownMs < silentMs / 2;
        r.silent = !better;
        return better;
    }

    /** The number of the engine's last heartbeat known here. */
    public long seq(String id) {
        Row r = rows.get(LoadSummary.key(id));
        return r == null ? -1 : r.seq;
    }

    /** How long ago the engine was heard, here or in the region; {@code Long.MAX_VALUE} if never. */
    public long agoMs(String id, long nowMs) {
        Row r = rows.get(LoadSummary.key(id));
        return r == null ? Long.MAX_VALUE : Math.max(0, nowMs - r.evidenceMs);
    }

    /** Heartbeats heard here, for the region's other control nodes. */
    public List<HeartbeatRow> own(long nowMs) {
        List<HeartbeatRow> out = new ArrayList<>();
        rows.forEach((k, r) -> {
            if (nowMs - r.ownMs < silentMs) {
                out.add(new HeartbeatRow(k, (int) Math.max(0, nowMs - r.ownMs)));
            }
        });
        return out;
    }

    /** Forgets engines silent for so long that nobody asks any more; returns them. */
    public List<String> forget(long afterMs, long nowMs) {
        List<String> out = new ArrayList<>();
        rows.values().removeIf(r -> {
            boolean old = nowMs - Math.max(r.evidenceMs, r.saidMs) > afterMs;
            if (old) {
                out.add(r.id);
                byAddress.values().remove(r);
            }
            return old;
        });
        return out;
    }
}
