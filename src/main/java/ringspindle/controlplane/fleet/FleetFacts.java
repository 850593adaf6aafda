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
 * The facts that a control node knows of the fleet, and when it learnt each; the presence of engines among them. Guarded by
 * the fleet's lock.
 */
public final class FleetFacts {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Engines silent for so long are forgotten. */
    private static final int FORGET_MS = 600_000;
    /** Engines silent for so long take no part in a roll-out. */
    private static final int ROLLOUT_SILENT_MS = 30_000;

    /** An engine that missed so many heartbeats counts as silent in a roll-out. */
    private static final int SILENT_HEARTBEATS = 3;

    /** What the engines that count for the load of their region depend on. */
    private record LoadMembersBasis(NodeConfig config, long engines, long silent, long leaving) {}

    private final MonotonicClock clock;
    private final FactStore store = FactStore.create();
    private final DecodedFacts<DataNodeFact> nodes = new DecodedFacts<>(store, FactKind.NODE, DataNodeFact::of);
    private final DecodedFacts<Engine> engines =
            new DecodedFacts<>(store, FactKind.ENGINE, value -> (Engine) Codec.decode(value));
    private List<LoadTotals.Member> loadMembers = List.of();
    /** The settings and changes of facts that {@link #loadMembers} was made of. */
    private LoadMembersBasis loadMembersBasis;

    private final EnginePresence presence;
    private final Map<String, Long> seenMs = new HashMap<>();
    private NodeConfig config;

    FleetFacts(NodeConfig config, MonotonicClock clock) {
        this.config = config;
        this.clock = clock;
        presence = new EnginePresence(config.engineBeatMs());
    }

    /** Settings changed while running. */
    void updateSettings(NodeConfig changed) {
        config = changed;
    }

    /** The facts themselves; merge through {@link #merge}, so that it is noted when they were learnt. */
    public FactStore store() {
        return store;
    }

    /** Data nodes and storage nodes, by their addresses. */
    DecodedFacts<DataNodeFact> nodes() {
        return nodes;
    }

    /** Which engines are heard, here and by peers. */
    EnginePresence presence() {
        return presence;
    }

    /** Takes facts that are newer than those known. */
    public void merge(List<Fact> facts) {
        long nowMs = clock.nowMs();
        for (Fact fact : store.merge(facts)) {
            seenMs.put(seenKey(fact.kind(), fact.key()), nowMs);
            if (fact.kind() == FactKind.ENGINE) {
                presence.onForwardedReport(fact.key(), (Engine) Codec.decode(fact.value()), fact.version(), nowMs);
            } else if (fact.kind() == FactKind.SILENT && isSilent(fact)) {
                contradict(fact, nowMs);
            }
        }
    }

    /** An engine that is heard here is not silent, whoever says so: the heartbeat heard makes the newer fact. */
    private void contradict(Fact silent, long nowMs) {
        String id = silent.key();
        if (presence.contradictsSilence(id, heartbeatOf(silent), nowMs)) {
            store.merge(List.of(silence(id, presence.lastSeq(id), false)));
        }
    }

    /** Its version says on which heartbeat it rests: twice the number, and one more if the engine fell silent after it. */
    private static Fact silence(String id, long heartbeat, boolean silent) {
        byte flag = (byte) (silent ? 1 : 0);
        return new Fact(FactKind.SILENT, id, 0, 2 * heartbeat + flag, new byte[] {flag});
    }

    private static boolean isSilent(Fact silence) {
        return silence.value()[0] == 1;
    }

    private static long heartbeatOf(Fact silent) {
        return (silent.version() - 1) / 2;
    }

    private static String seenKey(FactKind kind, String key) {
        return kind + " " + key;
    }

    /** When a fact last changed, as this node saw it; null if never. */
    Long seenMs(FactKind kind, String key) {
        return seenMs.get(seenKey(kind, key));
    }

    /** Milliseconds since a fact last changed, as this node saw it; of engines since they were last heard. */
    public long ageMs(FactKind kind, String key) {
        if (kind == FactKind.ENGINE) {
            return presence.ageMs(key, clock.nowMs());
        }
        Long changedMs = seenMs(kind, key);
        return changedMs == null ? Long.MAX_VALUE : clock.nowMs() - changedMs;
    }

    /** The version of what a head says under its view: it comes after all that is known to have been said under it. */
    public long nextVersion(FactKind kind, String key, long epoch) {
        Fact known = store.get(kind, key);
        return known == null || known.life() != epoch ? 1 : known.version() + 1;
    }

    /** An engine's heartbeat, spread only if it says something new. */
    public void onHeartbeat(String id, Engine engine, long sequence) {
        if (presence.onHeartbeat(id, engine, sequence, clock.nowMs())) {
            merge(List.of(new Fact(FactKind.ENGINE, id, 0, sequence, Codec.encode(engine))));
        }
    }

    /** Engines of this region that fell silent or are heard again become facts. */
    public void updateEnginePresence(long nowMs) {
        for (EnginePresence.Change change : presence.detectChanges(this::inThisRegion, nowMs)) {
            LOG.atInfo()
                    .with(LogField.ENGINE, change.id())
                    .log(change.silent() ? "engine is silent" : "engine is heard again");
            merge(List.of(silence(change.id(), change.seq(), change.silent())));
        }
        for (String id : presence.removeSilent(FORGET_MS, nowMs)) {
            forget(FactKind.ENGINE, id);
            forget(FactKind.SILENT, id);
        }
    }

    private boolean inThisRegion(Engine engine) {
        return config.regionOf(engine.zone()).equals(config.region());
    }

    private void forget(FactKind kind, String key) {
        store.forget(kind, key);
        seenMs.remove(seenKey(kind, key));
    }

    /** Engines that count for the load of their region. */
    List<LoadTotals.Member> loadMembers() {
        LoadMembersBasis basis = new LoadMembersBasis(
                config,
                store.changes(FactKind.ENGINE),
                store.changes(FactKind.SILENT),
                store.changes(FactKind.LEAVING));
        if (!basis.equals(loadMembersBasis)) {
            loadMembers = computeLoadMembers();
            loadMembersBasis = basis;
        }
        return loadMembers;
    }

    private List<LoadTotals.Member> computeLoadMembers() {
        List<LoadTotals.Member> members = new ArrayList<>();
        for (DecodedFacts.Entry<Engine> entry : engines.all()) {
            Fact fact = entry.fact();
            Fact silence = store.get(FactKind.SILENT, fact.key());
            boolean heard = silence == null || silence.value()[0] == 0;
            if (heard && !isLeaving(fact.key())) {
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
            if (engine.service().equals(service) && ageMs < ROLLOUT_SILENT_MS) {
                members.add(new RolloutPlanner.Member(
                        fact.key(),
                        config.regionOf(engine.zone()),
                        engine.weights(),
                        engine.draining() || isLeaving(fact.key()),
                        ageMs > (long) SILENT_HEARTBEATS * config.engineBeatMs()));
            }
        }
        return members;
    }
}
