package ringspindle.telemetry;

import it.unimi.dsi.fastutil.longs.Long2ObjectMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectRBTreeMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.HeartbeatRow;

/**
 * Engines' own heartbeats as one control node knows them: those it heard itself, and how long ago its region's other
 * control nodes heard theirs. Only changes are passed on: an engine that is new or reports something else, one that fell
 * silent, one that is heard again. A state machine without a clock; not thread safe.
 */
public final class EnginePresence {
    /** An engine is silent after this many intervals: it may miss three heartbeats. */
    private static final double SILENT_INTERVALS = 3.2;
    /** After a start of this node engines get this long to find it, in ms. */
    private static final int START_GRACE_MS = 5000;

    private static final long UNSET = Long.MIN_VALUE;

    /** An engine that fell silent or is heard again, with the number of the last heartbeat that this rests on. */
    public record Change(String id, boolean silent, long seq) {}

    private final int silentMs;
    private final Long2ObjectMap<EngineHeartbeats> engines = new Long2ObjectRBTreeMap<>();
    private final Map<String, EngineHeartbeats> byAddress = new HashMap<>();
    private long startMs = UNSET;

    /**
     * Knows no engines yet.
     *
     * @param intervalMs interval at which engines send heartbeats, in ms
     */
    public EnginePresence(int intervalMs) {
        silentMs = (int) (SILENT_INTERVALS * intervalMs);
    }

    /**
     * The engine sent a heartbeat to this node. One that was overtaken by a later one shows nothing: neither that the engine
     * lives now, nor that it is still the one at its address.
     *
     * @return true if what it reports must be passed on
     */
    public boolean onHeartbeat(String id, Engine report, long seq, long nowMs) {
        EngineHeartbeats engine = engine(id, nowMs);
        if (seq < engine.seq()) {
            return false;
        }
        engine.heardHere(nowMs);
        EngineHeartbeats before = byAddress.put(report.address(), engine);
        if (before != null && before != engine) {
            // another incarnation answers at that address now
            before.forgetEvidence();
        }
        return engine.update(report, seq, nowMs);
    }

    /** Another node passed on what the engine reported; what was reported here counts if it is newer. */
    public void onForwardedReport(String id, Engine report, long seq, long nowMs) {
        EngineHeartbeats engine = engine(id, nowMs);
        if (engine.updateIfNewer(report, seq, nowMs)) {
            byAddress.putIfAbsent(report.address(), engine);
        }
    }

    /** What another control node of the region heard. */
    public void onPeerHeartbeats(LoadSummary summary, long nowMs) {
        for (long key : summary.heartbeatKeys()) {
            EngineHeartbeats engine = engines.get(key);
            if (engine != null) {
                engine.heardElsewhere(nowMs - summary.heartbeatAgeMs(key));
            }
        }
    }

    private EngineHeartbeats engine(String id, long nowMs) {
        startMs = startMs == UNSET ? nowMs : startMs;
        long graceUntilMs = Math.max(nowMs, startMs + START_GRACE_MS);
        return engines.computeIfAbsent(EngineKey.of(id), key -> new EngineHeartbeats(id, graceUntilMs));
    }

    /**
     * The engines that fell silent or are heard again since the last call.
     *
     * @param judged which engines this node judges, by what they report: those of its region
     */
    public List<Change> detectChanges(Predicate<Engine> judged, long nowMs) {
        List<Change> changes = new ArrayList<>();
        for (EngineHeartbeats engine : engines.values()) {
            if (engine.report() == null || !judged.test(engine.report())) {
                continue;
            }
            boolean silent = engine.ageMs(nowMs) > silentMs;
            if (silent != engine.isSilent()) {
                engine.setSilent(silent);
                changes.add(new Change(engine.id(), silent, engine.seq()));
            }
        }
        return changes;
    }

    /**
     * Another node says that an engine is silent.
     *
     * @param seq number of the last heartbeat that this rests on
     * @return true if this node has heard a later one just now; else it takes the engine for silent as well
     */
    public boolean contradictsSilence(String id, long seq, long nowMs) {
        EngineHeartbeats engine = engines.get(EngineKey.of(id));
        if (engine == null) {
            return false;
        }
        boolean contradicts = engine.seq() > seq && engine.wasHeardHereWithin(silentMs / 2, nowMs);
        engine.setSilent(!contradicts);
        return contradicts;
    }

    /** Number of the engine's last heartbeat that is known here; below 0 if none is. */
    public long lastSeq(String id) {
        EngineHeartbeats engine = engines.get(EngineKey.of(id));
        return engine == null ? EngineHeartbeats.NO_SEQ : engine.seq();
    }

    /** How long ago the engine was heard, here or in the region, in ms; {@code Long.MAX_VALUE} if never. */
    public long ageMs(String id, long nowMs) {
        EngineHeartbeats engine = engines.get(EngineKey.of(id));
        return engine == null ? Long.MAX_VALUE : Math.max(0, engine.ageMs(nowMs));
    }

    /** Heartbeats heard here, for the region's other control nodes, by the engines' keys in ascending order. */
    public List<HeartbeatRow> ownHeartbeats(long nowMs) {
        List<HeartbeatRow> rows = new ArrayList<>();
        engines.forEach((key, engine) -> {
            if (engine.wasHeardHereWithin(silentMs, nowMs)) {
                rows.add(new HeartbeatRow(key, (int) Math.max(0, engine.heardHereAgeMs(nowMs))));
            }
        });
        return rows;
    }

    /** Forgets the engines of which nothing was heard for longer than that, and returns their ids. */
    public List<String> removeSilent(long afterMs, long nowMs) {
        List<String> removed = new ArrayList<>();
        engines.values().removeIf(engine -> {
            boolean old = engine.isOlderThan(afterMs, nowMs);
            if (old) {
                removed.add(engine.id());
                byAddress.values().remove(engine);
            }
            return old;
        });
        return removed;
    }
}
