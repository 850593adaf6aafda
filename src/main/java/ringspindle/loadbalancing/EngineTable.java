package ringspindle.loadbalancing;

import it.unimi.dsi.fastutil.longs.Long2ObjectMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The engines that this node knows, by id and by key, and what it has been told of engines that it may not know yet:
 * which drain, which were removed, whose heartbeats are missing.
 *
 * <p>The order of {@link #all} decides between engines of the same cost, so the kind of map is part of the behaviour.
 * Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class EngineTable {
    /** Ids of removed engines are remembered, so that a late report does not bring one back; the oldest are forgotten. */
    private static final int MAX_REMOVED_IDS = 1000;

    private final Map<String, EngineEntry> byId = new Object2ObjectOpenHashMap<>();
    private final Long2ObjectMap<EngineEntry> byKey = new Long2ObjectOpenHashMap<>();
    private final Map<String, RegionState> regions = new HashMap<>();
    private final Set<String> drainingIds = new HashSet<>();
    private final Set<String> heartbeatMissingIds = new HashSet<>();
    private final Set<String> removedIds = new LinkedHashSet<>();
    private long ejections;

    /** Ejections of engines since the start, of those that are gone too. */
    long ejections() {
        return ejections;
    }

    /** All engines. */
    Collection<EngineEntry> all() {
        return byId.values();
    }

    /** The engine with that id, or null. */
    EngineEntry get(String id) {
        return byId.get(id);
    }

    /** The engine with that key, or null. */
    EngineEntry getByKey(long key) {
        return byKey.get(key);
    }

    Set<String> ids() {
        return Collections.unmodifiableSet(byId.keySet());
    }

    Collection<RegionState> regions() {
        return regions.values();
    }

    /** The state of a region, which is kept for as long as the process runs. */
    RegionState region(String name) {
        return regions.computeIfAbsent(name, RegionState::new);
    }

    /** Adds an engine that is not known yet; the caller updates it with what it reported. */
    EngineEntry add(String id, long nowMs) {
        EngineEntry engine = new EngineEntry(
                id, drainingIds.contains(id), heartbeatMissingIds.contains(id), nowMs, () -> ejections++);
        byId.put(id, engine);
        byKey.put(engine.key(), engine);
        return engine;
    }

    boolean isRemoved(String id) {
        return removedIds.contains(id);
    }

    void markDraining(String id) {
        drainingIds.add(id);
        EngineEntry engine = byId.get(id);
        if (engine != null) {
            engine.markDraining();
        }
    }

    /** The engine is gone for good. Its entry stays until this node's requests there have ended. */
    void markRemoved(String id) {
        EngineEntry engine = byId.get(id);
        if (engine != null && engine.load().isIdle()) {
            remove(engine);
        }
        if (removedIds.add(id) && removedIds.size() > MAX_REMOVED_IDS) {
            removedIds.remove(removedIds.iterator().next());
        }
    }

    void setHeartbeatMissing(String id, boolean missing, long nowMs) {
        if (missing) {
            heartbeatMissingIds.add(id);
        } else {
            heartbeatMissingIds.remove(id);
        }
        EngineEntry engine = byId.get(id);
        if (engine != null) {
            engine.setHeartbeatMissing(missing, nowMs);
        }
    }

    void remove(EngineEntry engine) {
        byId.remove(engine.id());
        byKey.remove(engine.key());
    }

    /** Forgets engines whose heartbeats have been missing for longer than that and where nothing runs. */
    void removeAbandoned(long afterMs, long nowMs) {
        if (heartbeatMissingIds.isEmpty()) {
            return;
        }
        byId.values().removeIf(engine -> {
            boolean abandoned = engine.isAbandoned(afterMs, nowMs);
            if (abandoned) {
                byKey.remove(engine.key());
            }
            return abandoned;
        });
    }
}
