package ringspindle.loadbalancing;

import java.util.List;
import ringspindle.config.NodeConfig;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/**
 * Estimates the cost of sending a request to an engine, as the expected time to first byte in ms. The prefill time per
 * prompt token is learned from responses; the other factors are fixed or come with the request. Confined to the lock of
 * {@link EngineTableLoadBalancer}.
 */
final class CostModel {
    /** Initial prefill time per prompt token and the bounds of the learned value, in ms. */
    private static final double INITIAL_TOKEN_MS = 0.02;

    private static final double MIN_TOKEN_MS = 0.002;
    private static final double MAX_TOKEN_MS = 0.2;
    private static final double LEARNING_RATE = 0.05;
    /** Shorter prompts are not learned from, because they say little about the time per token. */
    private static final int MIN_LEARNING_TOKENS = 4000;

    /** Cost of a token in flight, relative to the prefill time per token. */
    private static final double IN_FLIGHT_TOKEN_FACTOR = 0.3;
    /** Weight of the other nodes' load, which is discounted because it is reported with a delay. */
    private static final double OTHER_NODES_LOAD_FACTOR = 0.25;

    private static final double WARMUP_PENALTY_MS = 30;

    /** Round trip times; {@code CostWeights.otherRegionMs} is the one to other regions. */
    private static final double SAME_ZONE_ROUND_TRIP_MS = 0.5;

    private static final double SAME_REGION_ROUND_TRIP_MS = 3;

    /**
     * Ties are broken by the top 9 of the 63 random bits: steps of {@value #TIE_BREAK_STEP_MS} ms, up to about 1 ms.
     */
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

    /** Returns the expected prefill time per prompt token, in ms. */
    double tokenMs() {
        return tokenMs;
    }

    /**
     * Returns the expected cost of the request at the engine, in ms.
     *
     * @param prefixHolder engine that has the shared prefix cached; null to count the prefix as cached everywhere
     */
    double cost(EngineEntry engine, EngineEntry prefixHolder, SelectionRequest request, long nowMs) {
        boolean prefixCached = engine == prefixHolder || prefixHolder == null;
        double tokensToRead = request.uncachedTokens() + (prefixCached ? 0 : request.sharedPrefixTokens());
        InFlightLoad load = engine.load();
        int otherNodesRunning = load.running(nowMs) - load.ownRunning();
        double otherNodesTokens = load.tokens(nowMs) - load.ownTokens();
        double running = load.ownRunning() + OTHER_NODES_LOAD_FACTOR * otherNodesRunning;
        double tokensInFlight = load.ownTokens() + OTHER_NODES_LOAD_FACTOR * otherNodesTokens;
        long tieBreak = RendezvousHash.mix(request.random() ^ engine.key()) >>> TIE_BREAK_SHIFT;
        // floating-point addition is not associative: reordering the terms could change which engine is selected
        double cost = roundTripMs(engine, request)
                + tokensToRead * tokenMs
                + running * request.costWeights().runningRequestMs()
                + tokensInFlight * tokenMs * IN_FLIGHT_TOKEN_FACTOR
                + tieBreak * TIE_BREAK_STEP_MS;
        return engine.slowStart().isWarmingUp(nowMs) ? cost + WARMUP_PENALTY_MS : cost;
    }

    /**
     * Returns the engine of the lowest cost among those that {@link RandomSubset} draws, the first one on a tie; null
     * if there is none.
     */
    EngineEntry cheapest(List<EngineEntry> selectable, EngineEntry prefixHolder, SelectionRequest request, long nowMs) {
        List<EngineEntry> compared =
                RandomSubset.of(selectable, prefixHolder, request, settings.zone(), quotaShare.maxNodes());
        EngineEntry best = null;
        double bestCost = Double.MAX_VALUE;
        for (EngineEntry engine : compared) {
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
            return SAME_ZONE_ROUND_TRIP_MS;
        }
        return engine.region().name().equals(settings.region())
                ? SAME_REGION_ROUND_TRIP_MS
                : request.costWeights().otherRegionMs();
    }

    /** Updates the prefill time per token from the time to first byte of a response; a negative time is ignored. */
    void learn(EngineEntry engine, SelectionRequest request, long firstByteMs) {
        if (firstByteMs < 0 || request.uncachedTokens() <= MIN_LEARNING_TOKENS) {
            return;
        }
        double observedTokenMs = (firstByteMs - roundTripMs(engine, request)) / request.uncachedTokens();
        double boundedTokenMs = Math.max(MIN_TOKEN_MS, Math.min(MAX_TOKEN_MS, observedTokenMs));
        tokenMs += (boundedTokenMs - tokenMs) * LEARNING_RATE;
    }
}
