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
 * The engines that this node knows, by id and by key. Draining, removal and missing heartbeats are also recorded by id,
 * because they may be announced before the engine itself.
 *
 * <p>The iteration order of {@link #all} decides between engines of equal cost, so the map implementation affects which
 * engines are selected. Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class EngineTable {
    /** Removed ids are kept so that a late report does not add the engine again; the oldest are dropped. */
    private static final int MAX_REMOVED_IDS = 1000;

    private final Map<String, EngineEntry> byId = new Object2ObjectOpenHashMap<>();
    private final Long2ObjectMap<EngineEntry> byKey = new Long2ObjectOpenHashMap<>();
    private final Map<String, RegionState> regions = new HashMap<>();
    private final Set<String> drainingIds = new HashSet<>();
    private final Set<String> heartbeatMissingIds = new HashSet<>();
    private final Set<String> removedIds = new LinkedHashSet<>();
    private long ejections;

    /** Returns the number of ejections since process start, including those of engines that were removed since. */
    long ejections() {
        return ejections;
    }

    Collection<EngineEntry> all() {
        return byId.values();
    }

    /** Returns the engine with that id, or null. */
    EngineEntry get(String id) {
        return byId.get(id);
    }

    /** Returns the engine with that key, or null. */
    EngineEntry getByKey(long key) {
        return byKey.get(key);
    }

    Set<String> ids() {
        return Collections.unmodifiableSet(byId.keySet());
    }

    Collection<RegionState> regions() {
        return regions.values();
    }

    /** Returns the state of a region, which is kept until the process ends. */
    RegionState region(String name) {
        return regions.computeIfAbsent(name, RegionState::new);
    }

    /** Adds a new engine, which the caller must then update with its report. */
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

    /** Marks an engine as permanently removed. Its entry stays until the requests of this node have ended there. */
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

    /** Removes idle engines whose heartbeats have been missing for longer than that. */
    void removeExpired(long afterMs, long nowMs) {
        if (heartbeatMissingIds.isEmpty()) {
            return;
        }
        byId.values().removeIf(engine -> {
            boolean expired = engine.isExpired(afterMs, nowMs);
            if (expired) {
                byKey.remove(engine.key());
            }
            return expired;
        });
    }
}
