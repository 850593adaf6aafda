package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.loadbalancing.LoadBalancer.RoutingPreference;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.routing.FallbackTarget;

/**
 * Policy for requests with a serving rule: selects the engine that holds the shared prefix, otherwise the rule's
 * fallback targets in order, each one only after the wait times of the targets up to it. A rule never adds candidates.
 */
final class RoutingRulePolicy implements SelectionPolicy {
    private final CostModel costModel;
    private final WarmupLimiter warmupLimiter;
    private NodeConfig settings;

    RoutingRulePolicy(NodeConfig settings, CostModel costModel, WarmupLimiter warmupLimiter) {
        this.settings = settings;
        this.costModel = costModel;
        this.warmupLimiter = warmupLimiter;
    }

    void updateSettings(NodeConfig newSettings) {
        settings = newSettings;
    }

    @Override
    public EngineChoice choose(
            SelectionRequest request, FleetConfig.Service service, Candidates candidates, long nowMs) {
        RoutingPreference preference = request.preference();
        double meanTokens = meanTokens(candidates.healthy(), nowMs);
        boolean hasAffinity = request.affinityKey() != 0;
        List<EngineEntry> ranked =
                hasAffinity ? PrefixAffinity.rank(candidates.permitted(), request) : candidates.permitted();
        EngineEntry holder = hasAffinity && !ranked.isEmpty() ? ranked.get(0) : null;
        List<EngineEntry> selectable = withFreeCapacity(request, service, candidates, nowMs);
        boolean holderAvailable = holder != null && isAvailable(holder, candidates, nowMs);
        if (holderAvailable
                && selectable.contains(holder)
                && PrefixAffinity.isBalanced(holder, request, preference.maxImbalance(), meanTokens, nowMs)) {
            return EngineChoice.of(holder);
        }
        List<FallbackTarget> targets = holderAvailable ? preference.whenBusy() : preference.whenUnavailable();
        if (holder == null || targets.isEmpty()) {
            return toChoice(costModel.cheapest(selectable, holder, request, nowMs));
        }
        selectable.remove(holder);
        return toChoice(chooseFallback(targets, selectable, ranked, request, nowMs));
    }

    private static EngineChoice toChoice(EngineEntry engine) {
        return engine == null ? EngineChoice.none(false) : EngineChoice.of(engine);
    }

    /** Returns the engines that have free capacity apart from what is reserved for other request classes. */
    private List<EngineEntry> withFreeCapacity(
            SelectionRequest request, FleetConfig.Service service, Candidates candidates, long nowMs) {
        double reservedShare = request.preference().reservedShare();
        List<EngineEntry> selectable = new ArrayList<>(candidates.healthy().size());
        for (EngineEntry engine : candidates.healthy()) {
            if (candidates.isSelectable(engine)
                    && warmupLimiter.permits(engine, service, nowMs)
                    && engine.load().running(nowMs) < unreservedCapacity(engine, reservedShare)) {
                selectable.add(engine);
            }
        }
        return selectable;
    }

    private static int unreservedCapacity(EngineEntry engine, double reservedShare) {
        return reservedShare <= 0 ? Integer.MAX_VALUE : Math.max(1, (int) (engine.capacity() * (1 - reservedShare)));
    }

    private static boolean isAvailable(EngineEntry holder, Candidates candidates, long nowMs) {
        return candidates.healthy().contains(holder)
                && !candidates.isSkippedAsUnreachable(holder)
                && !holder.slowStart().isWarmingUp(nowMs);
    }

    private EngineEntry chooseFallback(
            List<FallbackTarget> targets,
            List<EngineEntry> selectable,
            List<EngineEntry> ranked,
            SelectionRequest request,
            long nowMs) {
        EngineEntry holder = ranked.get(0);
        long eligibleAfterMs = 0;
        for (FallbackTarget target : targets) {
            eligibleAfterMs += target.waitMs();
            if (request.preference().waitedMs() < eligibleAfterMs) {
                return null;
            }
            EngineEntry best = costModel.cheapest(enginesAt(target, selectable, ranked), holder, request, nowMs);
            if (best != null) {
                return best;
            }
        }
        return null;
    }

    private List<EngineEntry> enginesAt(FallbackTarget target, List<EngineEntry> selectable, List<EngineEntry> ranked) {
        if (target.scope() == FallbackTarget.Scope.NEXT) {
            return nextByRank(selectable, ranked);
        }
        List<EngineEntry> engines = new ArrayList<>();
        for (EngineEntry engine : selectable) {
            if (isWithin(engine, target)) {
                engines.add(engine);
            }
        }
        return engines;
    }

    /**
     * Returns the first engine by rank after the prefix holder that is neither draining nor ejected, if it is
     * selectable.
     */
    private static List<EngineEntry> nextByRank(List<EngineEntry> selectable, List<EngineEntry> ranked) {
        for (EngineEntry engine : ranked.subList(1, ranked.size())) {
            if (!engine.isDraining() && !engine.ejection().isEjected()) {
                return selectable.contains(engine) ? List.of(engine) : List.of();
            }
        }
        return List.of();
    }

    private boolean isWithin(EngineEntry engine, FallbackTarget target) {
        return switch (target.scope()) {
            case ZONE -> engine.zone().equals(settings.zone());
            case REGION -> engine.region().name().equals(settings.region());
            case REGIONS -> target.regions().contains(engine.region().name());
            case NEXT, ANY -> true;
        };
    }

    /** Returns the mean of the tokens in flight. Dividing the sum instead would round differently. */
    private static double meanTokens(List<EngineEntry> engines, long nowMs) {
        double mean = 0;
        for (EngineEntry engine : engines) {
            mean += engine.load().tokens(nowMs) / engines.size();
        }
        return mean;
    }
}
