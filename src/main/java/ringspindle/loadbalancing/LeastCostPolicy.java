package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import ringspindle.config.FleetConfig;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/** Policy for requests without a serving rule: selects the engine of the lowest cost, which a cached prefix reduces. */
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
        List<EngineEntry> selectable = new ArrayList<>(candidates.healthy().size());
        boolean limitedByWarmup = false;
        for (EngineEntry engine : candidates.healthy()) {
            if (!candidates.isSelectable(engine)) {
                continue;
            }
            if (!warmupLimiter.permits(engine, service, nowMs)) {
                limitedByWarmup = true;
                continue;
            }
            selectable.add(engine);
        }
        EngineEntry best = costModel.cheapest(selectable, prefixHolder, request, nowMs);
        return best == null ? EngineChoice.none(limitedByWarmup) : EngineChoice.of(best);
    }

    /** Returns the first engine by prefix rank that is selectable and not overloaded; null if there is none. */
    private static EngineEntry prefixHolder(SelectionRequest request, Candidates candidates, long nowMs) {
        double meanTokens = meanTokens(candidates.healthy(), nowMs);
        for (EngineEntry engine : PrefixAffinity.rank(candidates.healthy(), request)) {
            if (candidates.isSelectable(engine)
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
