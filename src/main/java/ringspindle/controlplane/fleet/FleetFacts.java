package ringspindle.controlplane.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ringspindle.config.NodeConfig;
import ringspindle.gossip.DecodedFacts;
import ringspindle.gossip.FactStore;
import ringspindle.logging.LogField;
import ringspindle.membership.DataNodeFact;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.rollout.RolloutPlanner;
import ringspindle.telemetry.EngineKey;
import ringspindle.telemetry.EnginePresence;
import ringspindle.telemetry.LoadTotals;
import ringspindle.time.MonotonicClock;

/**
 * The facts that a control node knows of the fleet, with the time at which each last changed here, and the presence of
 * engines. Guarded by the fleet's lock.
 */
public final class FleetFacts {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Engines that are silent for this long are removed. */
    private static final int SILENT_REMOVAL_MS = 600_000;
    /** Engines that are silent for this long are left out of roll-outs. */
    private static final int ROLLOUT_SILENT_MAX_MS = 30_000;

    /** An engine that missed this many heartbeats counts as silent in a roll-out. */
    private static final int SILENT_AFTER_HEARTBEATS = 3;

    /** The inputs of {@link #computeLoadMembers}, to tell whether its result is still current. */
    private record LoadMembersInputs(NodeConfig config, long engines, long silent, long leaving) {}

    private final MonotonicClock clock;
    private final FactStore store = FactStore.create();
    private final DecodedFacts<DataNodeFact> nodes = new DecodedFacts<>(store, FactKind.NODE, DataNodeFact::of);
    private final DecodedFacts<Engine> engines =
            new DecodedFacts<>(store, FactKind.ENGINE, value -> (Engine) Codec.decode(value));
    private List<LoadTotals.Member> loadMembers = List.of();
    /** The inputs from which {@link #loadMembers} was computed. */
    private LoadMembersInputs loadMembersInputs;

    private final EnginePresence presence;
    private final Map<String, Long> changedAtMs = new HashMap<>();
    private NodeConfig config;

    FleetFacts(NodeConfig config, MonotonicClock clock) {
        this.config = config;
        this.clock = clock;
        presence = new EnginePresence(config.engineBeatMs());
    }

    /** Applies settings that changed while running. */
    void updateSettings(NodeConfig changed) {
        config = changed;
    }

    /** The fact store. Merge through {@link #merge}, which records when each fact changed. */
    public FactStore store() {
        return store;
    }

    /** Facts of data nodes and storage nodes, by their addresses. */
    DecodedFacts<DataNodeFact> nodes() {
        return nodes;
    }

    /** Presence of engines, from heartbeats received here and by peers. */
    EnginePresence presence() {
        return presence;
    }

    /** Merges the facts that are newer than the known ones. */
    public void merge(List<Fact> facts) {
        long nowMs = clock.nowMs();
        for (Fact fact : store.merge(facts)) {
            changedAtMs.put(changeKey(fact.kind(), fact.key()), nowMs);
            if (fact.kind() == FactKind.ENGINE) {
                presence.onForwardedReport(fact.key(), (Engine) Codec.decode(fact.value()), fact.version(), nowMs);
            } else if (fact.kind() == FactKind.SILENT && isSilent(fact)) {
                overrideSilence(fact, nowMs);
            }
        }
    }

    /**
     * Overrides a report of silence about an engine whose heartbeats arrive here: the later heartbeat makes the newer
     * fact.
     */
    private void overrideSilence(Fact silent, long nowMs) {
        String id = silent.key();
        if (presence.contradictsSilence(id, heartbeatOf(silent), nowMs)) {
            store.merge(List.of(silenceFact(id, presence.lastSeq(id), false)));
        }
    }

    /**
     * The version encodes the last heartbeat before the change: twice its number, plus one if the engine fell silent.
     */
    private static Fact silenceFact(String id, long heartbeat, boolean silent) {
        byte flag = (byte) (silent ? 1 : 0);
        return new Fact(FactKind.SILENT, id, 0, 2 * heartbeat + flag, new byte[] {flag});
    }

    private static boolean isSilent(Fact silence) {
        return silence.value()[0] == 1;
    }

    private static long heartbeatOf(Fact silent) {
        return (silent.version() - 1) / 2;
    }

    private static String changeKey(FactKind kind, String key) {
        return kind + " " + key;
    }

    /** When a fact last changed on this node; null if never. */
    Long changedAtMs(FactKind kind, String key) {
        return changedAtMs.get(changeKey(kind, key));
    }

    /** Milliseconds since a fact last changed on this node; for engines, since their last heartbeat. */
    public long ageMs(FactKind kind, String key) {
        if (kind == FactKind.ENGINE) {
            return presence.ageMs(key, clock.nowMs());
        }
        Long changedMs = changedAtMs(kind, key);
        return changedMs == null ? Long.MAX_VALUE : clock.nowMs() - changedMs;
    }

    /** The next version for a fact that the head publishes under its view: above all known versions of that epoch. */
    public long nextVersion(FactKind kind, String key, long epoch) {
        Fact known = store.get(kind, key);
        return known == null || known.life() != epoch ? 1 : known.version() + 1;
    }

    /** Takes a heartbeat of an engine; it becomes a fact only if it reports something new. */
    public void onHeartbeat(String id, Engine engine, long sequence) {
        if (presence.onHeartbeat(id, engine, sequence, clock.nowMs())) {
            merge(List.of(new Fact(FactKind.ENGINE, id, 0, sequence, Codec.encode(engine))));
        }
    }

    /**
     * Publishes which engines of this region fell silent or are heard again, and removes engines that are silent for
     * long.
     */
    public void updateEnginePresence(long nowMs) {
        for (EnginePresence.Change change : presence.detectChanges(this::isInThisRegion, nowMs)) {
            LOG.atInfo()
                    .with(LogField.ENGINE, change.id())
                    .log(change.silent() ? "engine is silent" : "engine is heard again");
            merge(List.of(silenceFact(change.id(), change.seq(), change.silent())));
        }
        for (String id : presence.removeSilent(SILENT_REMOVAL_MS, nowMs)) {
            forget(FactKind.ENGINE, id);
            forget(FactKind.SILENT, id);
        }
    }

    private boolean isInThisRegion(Engine engine) {
        return config.regionOf(engine.zone()).equals(config.region());
    }

    private void forget(FactKind kind, String key) {
        store.forget(kind, key);
        changedAtMs.remove(changeKey(kind, key));
    }

    /** Engines that count towards the load of their region. */
    List<LoadTotals.Member> loadMembers() {
        LoadMembersInputs inputs = new LoadMembersInputs(
                config,
                store.changes(FactKind.ENGINE),
                store.changes(FactKind.SILENT),
                store.changes(FactKind.LEAVING));
        if (!inputs.equals(loadMembersInputs)) {
            loadMembers = computeLoadMembers();
            loadMembersInputs = inputs;
        }
        return loadMembers;
    }

    private List<LoadTotals.Member> computeLoadMembers() {
        List<LoadTotals.Member> members = new ArrayList<>();
        for (DecodedFacts.Entry<Engine> entry : engines.all()) {
            Fact fact = entry.fact();
            Fact silence = store.get(FactKind.SILENT, fact.key());
            boolean present = silence == null || silence.value()[0] == 0;
            if (present && !isLeaving(fact.key())) {
                Engine engine = entry.value();
                members.add(new LoadTotals.Member(
                        EngineKey.of(fact.key()), engine.service(), config.regionOf(engine.zone()), engine.capacity()));
            }
        }
        return members;
    }

    private boolean isLeaving(String id) {
        return store.get(FactKind.LEAVING, id) != null;
    }

    /** The engines of a service, for roll-outs. */
    public List<RolloutPlanner.Member> rolloutMembers(String service) {
        List<RolloutPlanner.Member> members = new ArrayList<>();
        long nowMs = clock.nowMs();
        for (DecodedFacts.Entry<Engine> entry : engines.all()) {
            Fact fact = entry.fact();
            Engine engine = entry.value();
            long ageMs = presence.ageMs(fact.key(), nowMs);
            if (engine.service().equals(service) && ageMs < ROLLOUT_SILENT_MAX_MS) {
                members.add(new RolloutPlanner.Member(
                        fact.key(),
                        config.regionOf(engine.zone()),
                        engine.weights(),
                        engine.draining() || isLeaving(fact.key()),
                        ageMs > (long) SILENT_AFTER_HEARTBEATS * config.engineBeatMs()));
            }
        }
        return members;
    }
}
