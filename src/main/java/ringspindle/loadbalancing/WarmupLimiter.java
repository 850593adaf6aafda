package ringspindle.loadbalancing;

import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;

/**
 * This node's share of the request rate that a warming engine takes, so that all nodes together stay within it.
 *
 * <p>With few nodes each has a token bucket an engine. With so many that a node's burst would be less than one request,
 * each node has a slot in turn instead, in which it may send one request. An unused slot is lost, so that shares cannot
 * pile up.
 *
 * <p>Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class WarmupLimiter {
    /** Share of the rate that is given out as tokens. */
    private static final double TOKEN_SHARE = 0.9;
    /** Share of the rate that is given out as slots. */
    private static final double SLOT_SHARE = 0.6;
    /** How long a slot is open, in ms. */
    private static final int SLOT_OPEN_MS = 500;

    private static final long NO_SLOT = -1;
    private static final double DEFAULT_RATE_PER_S = 1;

    private final QuotaShare quotaShare;
    private NodeConfig settings;

    WarmupLimiter(NodeConfig settings, QuotaShare quotaShare) {
        this.settings = settings;
        this.quotaShare = quotaShare;
    }

    void updateSettings(NodeConfig newSettings) {
        settings = newSettings;
    }

    /** Whether the engine may get a request now: always when it is warm, else within this node's share. */
    boolean permits(EngineEntry engine, FleetConfig.Service service, long nowMs) {
        return !engine.slowStart().isWarmingUp(nowMs) || hasShare(engine, service, nowMs);
    }

    private boolean hasShare(EngineEntry engine, FleetConfig.Service service, long nowMs) {
        double perS = service == null ? DEFAULT_RATE_PER_S : service.warmupPerS();
        if (perS <= 0) {
            return true;
        }
        int nodes = quotaShare.nodes(nowMs);
        double burst = QuotaShare.USED_PART
                * (perS * (settings.warmupOverrun() - TOKEN_SHARE) + settings.warmupSlack())
                / nodes;
        if (burst < 1) {
            return slot(engine, perS, nodes, nowMs) != NO_SLOT;
        }
        return engine.slowStart().refill(TOKEN_SHARE * perS / nodes, burst, nowMs);
    }

    /** The engine was selected: takes a request of this node's share if it warms up. */
    void take(EngineEntry engine, FleetConfig.Service service, long nowMs) {
        SlowStart slowStart = engine.slowStart();
        if (!slowStart.isWarmingUp(nowMs)) {
            return;
        }
        slowStart.takeToken();
        if (service == null || service.warmupPerS() <= 0) {
            return;
        }
        long slot = slot(engine, service.warmupPerS(), quotaShare.nodes(nowMs), nowMs);
        if (slot != NO_SLOT) {
            slowStart.useSlot(slot);
        }
    }

    /** The slot that this node has now at the engine; {@link #NO_SLOT} if it has none or has used it. */
    private long slot(EngineEntry engine, double perS, int nodes, long nowMs) {
        long periodMs = Math.max(SLOT_OPEN_MS, (long) (1000 * nodes / (SLOT_SHARE * perS)));
        long nodeHash = settings.name().hashCode() * 0x9E3779B97F4A7C15L;
        long phaseMs = Math.floorMod(RendezvousHash.mix(engine.key() ^ nodeHash), periodMs);
        long shiftedMs = nowMs + phaseMs;
        long slot = shiftedMs / periodMs;
        boolean open = shiftedMs % periodMs < SLOT_OPEN_MS;
        return open && !engine.slowStart().isSlotUsed(slot) ? slot : NO_SLOT;
    }
}
