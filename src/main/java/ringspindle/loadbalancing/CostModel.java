package ringspindle.loadbalancing;

import java.util.List;
import ringspindle.config.NodeConfig;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/**
 * Estimates what a request costs at an engine, in ms until its first byte. The time to read a prompt token is learned from
 * answers; the other factors are fixed. Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class CostModel {
    /** Time to read a prompt token before anything was learned, in ms, and the bounds of what is learned. */
    private static final double INITIAL_TOKEN_MS = 0.02;

    private static final double MIN_TOKEN_MS = 0.002;
    private static final double MAX_TOKEN_MS = 0.2;
    private static final double LEARNING_RATE = 0.05;
    /** Shorter prompts say little of the time for a token. */
    private static final int MIN_LEARNING_TOKENS = 4000;

    /** Part of the time to read a token that a token in flight costs. */
    private static final double IN_FLIGHT_TOKEN_PART = 0.3;
    /** What others run costs less than what runs here, as it is known late. */
    private static final double OTHERS_PART = 0.25;

    private static final double WARMING_UP_MS = 30;

    /** Round trips, in ms. */
    private static final double SAME_ZONE_MS = 0.5;

    private static final double SAME_REGION_MS = 3;

    /** Random bits that break ties, and what one of their steps costs in ms: about 2 ms at most. */
    private static final int TIE_BREAK_SHIFT = 54;

    private static final double TIE_BREAK_STEP_MS = 0.002;

    private final QuotaShare quotaShare;
    private NodeConfig settings;
    private double tokenMs = INITIAL_TOKEN_MS;

    CostModel(NodeConfig settings, QuotaShare quotaShare) {
        this.settings = settings;
        this.quotaShare = quotaShare;
    }

    void updateSettings(NodeConfig newSettings) {
        settings = newSettings;
    }

    /** Expected time to read a prompt token, in ms. */
    double tokenMs() {
        return tokenMs;
    }

    /**
     * Expected cost of the request at the engine, in ms.
     *
     * @param prefixHolder engine that has the shared prefix in its cache; null if it does not matter
     */
    double cost(EngineEntry engine, EngineEntry prefixHolder, SelectionRequest request, long nowMs) {
        boolean prefixCached = engine == prefixHolder || prefixHolder == null;
        double tokensToRead = request.uncachedTokens() + (prefixCached ? 0 : request.sharedPrefixTokens());
        InFlightLoad load = engine.load();
        int othersRunning = load.running(nowMs) - load.ownRunning();
        double othersTokens = load.tokens(nowMs) - load.ownTokens();
        double running = load.ownRunning() + OTHERS_PART * othersRunning;
        double tokensInFlight = load.ownTokens() + OTHERS_PART * othersTokens;
        long tieBreak = RendezvousHash.mix(request.random() ^ engine.key()) >>> TIE_BREAK_SHIFT;
        // the order of the terms is part of the behaviour, as sums of doubles depend on it
        double cost = roundTripMs(engine, request)
                + tokensToRead * tokenMs
                + running * request.costWeights().runningRequestMs()
                + tokensInFlight * tokenMs * IN_FLIGHT_TOKEN_PART
                + tieBreak * TIE_BREAK_STEP_MS;
        return engine.slowStart().isWarmingUp(nowMs) ? cost + WARMING_UP_MS : cost;
    }

    /** Of the engines that are compared, the one with the least cost, the first of those that cost the same; null if there are none. */
    EngineEntry cheapest(List<EngineEntry> open, EngineEntry prefixHolder, SelectionRequest request, long nowMs) {
        List<EngineEntry> engines =
                RandomSubset.of(open, prefixHolder, request, settings.zone(), quotaShare.maxNodes());
        EngineEntry best = null;
        double bestCost = Double.MAX_VALUE;
        for (EngineEntry engine : engines) {
            double cost = cost(engine, prefixHolder, request, nowMs);
            if (cost < bestCost) {
                bestCost = cost;
                best = engine;
            }
        }
        return best;
    }

    private double roundTripMs(EngineEntry engine, SelectionRequest request) {
        if (engine.zone().equals(settings.zone())) {
            return SAME_ZONE_MS;
        }
        return engine.region().name().equals(settings.region())
                ? SAME_REGION_MS
                : request.costWeights().otherRegionMs();
    }

    /** Learns from the time to the first byte of an answer, in ms; below 0 it says nothing. */
    void learn(EngineEntry engine, SelectionRequest request, long firstMs) {
        if (firstMs < 0 || request.uncachedTokens() <= MIN_LEARNING_TOKENS) {
            return;
        }
        double seen = (firstMs - roundTripMs(engine, request)) / request.uncachedTokens();
        double bounded = Math.max(MIN_TOKEN_MS, Math.min(MAX_TOKEN_MS, seen));
        tokenMs += (bounded - tokenMs) * LEARNING_RATE;
    }
}
