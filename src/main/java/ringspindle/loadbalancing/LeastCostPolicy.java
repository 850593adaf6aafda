package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import ringspindle.config.FleetConfig;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/** Requests without a serving rule: the engine of the least cost, where a cached prefix makes an engine cheaper. */
final class LeastCostPolicy implements SelectionPolicy {
    private final CostModel costModel;
    private final WarmupLimiter warmupLimiter;

    LeastCostPolicy(CostModel costModel, WarmupLimiter warmupLimiter) {
        this.costModel = costModel;
        this.warmupLimiter = warmupLimiter;
    }

    @Override
    public EngineChoice choose(
            SelectionRequest request, FleetConfig.Service service, Candidates candidates, long nowMs) {
        EngineEntry prefixHolder = request.affinityKey() == 0 ? null : prefixHolder(request, candidates, nowMs);
        List<EngineEntry> open = new ArrayList<>(candidates.healthy().size());
        boolean limitedByWarmup = false;
        for (EngineEntry engine : candidates.healthy()) {
            if (!candidates.isOpen(engine)) {
                continue;
            }
            if (!warmupLimiter.permits(engine, service, nowMs)) {
                limitedByWarmup = true;
                continue;
            }
            open.add(engine);
        }
        EngineEntry best = costModel.cheapest(open, prefixHolder, request, nowMs);
        return best == null ? EngineChoice.none(limitedByWarmup) : EngineChoice.of(best);
    }

    /** The first engine by rank that has no more than its share of the load; null if there is none. */
    private static EngineEntry prefixHolder(SelectionRequest request, Candidates candidates, long nowMs) {
        double meanTokens = meanTokens(candidates.healthy(), nowMs);
        for (EngineEntry engine : PrefixAffinity.rank(candidates.healthy(), request)) {
            if (candidates.isOpen(engine)
                    && PrefixAffinity.isBalanced(
                            engine, request, request.costWeights().maxImbalance(), meanTokens, nowMs)) {
                return engine;
            }
        }
        return null;
    }

    private static double meanTokens(List<EngineEntry> engines, long nowMs) {
        double tokens = 0;
        for (EngineEntry engine : engines) {
            tokens += engine.load().tokens(nowMs);
        }
        return engines.isEmpty() ? 0 : tokens / engines.size();
    }
}
