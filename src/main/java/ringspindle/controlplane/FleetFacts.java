package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ringspindle.config.NodeConfig;
import ringspindle.gossip.FactStore;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.rollout.RolloutPlanner;
import ringspindle.telemetry.EnginePresence;
import ringspindle.telemetry.LoadSummary;
import ringspindle.telemetry.LoadTotals;
import ringspindle.time.MonotonicClock;

/** What a control node knows of the system, and when it learned it; engines' heartbeats among it. Guarded by its owner. */
final class FleetFacts {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Ours: engines silent for so long are forgotten. */
    private static final int FORGET_MS = 600_000;
    /** Engines silent for so long take no part in a roll-out. */
    private static final int ROLL_SILENT_MS = 30_000;

    private static final int SILENT_HEARTBEATS = 3;

    private final MonotonicClock clock;
    private final FactStore book = FactStore.create();
    private final EnginePresence presence;
    private final Map<String, Long> seenMs = new HashMap<>();
    private NodeConfig config;

    FleetFacts(NodeConfig config, MonotonicClock clock) {
        this.config = config;
        this.clock = clock;
        presence = new EnginePresence(config.engineBeatMs());
    }

    void settings(NodeConfig c) {
        config = c;
    }

    FactStore store() {
        return book;
    }

    EnginePresence presence() {
        return presence;
    }

    void merge(List<Fact> items) {
        long nowMs = clock.nowMs();
        for (Fact i : book.merge(items)) {
            seenMs.put(seenKey(i.kind(), i.key()), nowMs);
            if (i.kind() == FactKind.ENGINE) {
                presence.told(i.key(), (Engine) Codec.decode(i.value()), i.version(), nowMs);
            } else if (i.kind() == FactKind.SILENT
                    && i.value()[0] == 1
                    && presence.contradicts(i.key(), (i.version() - 1) / 2, nowMs)) {
                book.merge(List.of(new Fact(FactKind.SILENT, i.key(), 0, 2 * presence.seq(i.key()), new byte[] {0})));
            }
        }
    }

    private static String seenKey(FactKind kind, String key) {
        return kind + " " + key;
    }

    /** When a fact last moved, as this node saw it; null if never. */
    Long seenMs(FactKind kind, String key) {
        return seenMs.get(seenKey(kind, key));
    }

    /** Milliseconds since a fact last moved, as this node saw it; of engines since they were last heard. */
    long ageMs(FactKind kind, String key) {
        if (kind == FactKind.ENGINE) {
            return presence.agoMs(key, clock.nowMs());
        }
        Long at = seenMs(kind, key);
        return at == null ? Long.MAX_VALUE : clock.nowMs() - at;
    }

    /** What a holder of a duty says under its view comes after all that is known to have been said under it. */
    long nextVersion(FactKind kind, String key, long epoch) {
        Fact old = book.get(kind, key);
        return old == null || old.life() != epoch ? 1 : old.version() + 1;
    }

    /** An engine's heartbeat, spread only if it says something new. */
    void heartbeat(String id, Engine e, long seq) {
        if (presence.heard(id, e, seq, clock.nowMs())) {
            merge(List.of(new Fact(FactKind.ENGINE, id, 0, seq, Codec.encode(e))));
        }
    }

    /** Engines of this region that fell silent or are heard again become facts. */
    void judgeEngines(long nowMs) {
        for (EnginePresence.Change c :
                presence.judge(e -> config.regionOf(e.zone()).equals(config.region()), nowMs)) {
            LOG.atInfo().log("engine %s %s", c.id(), c.silent() ? "is silent" : "is heard again");
            byte silent = (byte) (c.silent() ? 1 : 0);
            merge(List.of(new Fact(FactKind.SILENT, c.id(), 0, 2 * c.seq() + silent, new byte[] {silent})));
        }
        for (String id : presence.forget(FORGET_MS, nowMs)) {
            book.forget(FactKind.ENGINE, id);
            book.forget(FactKind.SILENT, id);
            seenMs.remove(seenKey(FactKind.ENGINE, id));
            seenMs.remove(seenKey(FactKind.SILENT, id));
        }
    }

    /** Engines that count for the load of their region. */
    List<LoadTotals.Member> loadMembers() {
        List<LoadTotals.Member> out = new ArrayList<>();
        for (Fact i : book.all(FactKind.ENGINE)) {
            Fact silent = book.get(FactKind.SILENT, i.key());
            if ((silent == null || silent.value()[0] == 0) && book.get(FactKind.LEAVING, i.key()) == null) {
                Engine e = (Engine) Codec.decode(i.value());
                out.add(new LoadTotals.Member(
                        LoadSummary.key(i.key()), e.service(), config.regionOf(e.zone()), e.capacity()));
            }
        }
        return out;
    }

    /** The engines of a service, for roll-outs. */
    List<RolloutPlanner.Member> rolloutMembers(String service) {
        List<RolloutPlanner.Member> out = new ArrayList<>();
        long nowMs = clock.nowMs();
        for (Fact i : book.all(FactKind.ENGINE)) {
            Engine e = (Engine) Codec.decode(i.value());
            long ageMs = presence.agoMs(i.key(), nowMs);
            if (e.service().equals(service) && ageMs < ROLL_SILENT_MS) {
                out.add(new RolloutPlanner.Member(
                        i.key(),
                        config.regionOf(e.zone()),
                        e.weights(),
                        e.draining() || book.get(FactKind.LEAVING, i.key()) != null,
                        ageMs > (long) SILENT_HEARTBEATS * config.engineBeatMs()));
            }
        }
        return out;
    }
}
