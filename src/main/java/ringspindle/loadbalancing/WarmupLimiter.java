package ringspindle.loadbalancing;

import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;

/**
 * Limits the request rate to warming engines to this node's share, so that all nodes together stay within the rate that
 * the service configures.
 *
 * <p>With few nodes, each node has a token bucket per engine. With so many nodes that a node's burst would be less than
 * one request, each node instead has a recurring time slot in which it may send one request. Unused slots expire, so
 * that shares cannot accumulate.
 *
 * <p>Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class WarmupLimiter {
    /** Share of the rate that is distributed by token buckets. */
    private static final double TOKEN_SHARE = 0.9;
    /** Share of the rate that is distributed by time slots. */
    private static final double SLOT_SHARE = 0.6;
    /** Length of a time slot. */
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

    /** Returns true if the engine is not warming up, or if this node may send it a request within its share. */
    boolean permits(EngineEntry engine, FleetConfig.Service service, long nowMs) {
        return !engine.slowStart().isWarmingUp(nowMs) || hasQuota(engine, service, nowMs);
    }

    private boolean hasQuota(EngineEntry engine, FleetConfig.Service service, long nowMs) {
        double ratePerS = service == null ? DEFAULT_RATE_PER_S : service.warmupPerS();
        if (ratePerS <= 0) {
            return true;
        }
        int nodes = quotaShare.nodes(nowMs);
        double burst = QuotaShare.USED_FRACTION
                * (ratePerS * (settings.warmupOverrun() - TOKEN_SHARE) + settings.warmupSlack())
                / nodes;
        if (burst < 1) {
            return slot(engine, ratePerS, nodes, nowMs) != NO_SLOT;
        }
        return engine.slowStart().refill(TOKEN_SHARE * ratePerS / nodes, burst, nowMs);
    }

    /** Uses up one request of this node's share if the selected engine is warming up. */
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

    /** Returns this node's current time slot for the engine; {@link #NO_SLOT} if it has none or has used it. */
    private long slot(EngineEntry engine, double ratePerS, int nodes, long nowMs) {
        long periodMs = Math.max(SLOT_OPEN_MS, (long) (1000 * nodes / (SLOT_SHARE * ratePerS)));
        // the golden ratio constant spreads the 32-bit hash code over 64 bits
        long nodeHash = settings.name().hashCode() * 0x9E3779B97F4A7C15L;
        long phaseMs = Math.floorMod(RendezvousHash.mix(engine.key() ^ nodeHash), periodMs);
        long shiftedMs = nowMs + phaseMs;
        long slot = shiftedMs / periodMs;
        boolean open = shiftedMs % periodMs < SLOT_OPEN_MS;
        return open && !engine.slowStart().isSlotUsed(slot) ? slot : NO_SLOT;
    }
}
