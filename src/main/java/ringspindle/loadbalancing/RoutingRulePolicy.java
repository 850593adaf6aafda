package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.loadbalancing.LoadBalancer.RoutingPreference;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.routing.FallbackTarget;

/**
 * Requests under a serving rule: the holder of the shared prefix, else the rule's fallback targets in their order, each
 * once the request has waited for those before it. Only engines that may be selected anyway are looked at.
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
        List<EngineEntry> open = withFreePlaces(request, service, candidates, nowMs);
        boolean holderAvailable = holder != null && isAvailable(holder, candidates, nowMs);
        if (holderAvailable
                && open.contains(holder)
                && PrefixAffinity.isBalanced(holder, request, preference.maxImbalance(), meanTokens, nowMs)) {
            return EngineChoice.of(holder);
        }
        List<FallbackTarget> targets = holderAvailable ? preference.whenBusy() : preference.whenUnavailable();
        if (holder == null || targets.isEmpty()) {
            return choice(costModel.cheapest(open, holder, request, nowMs));
        }
        open.remove(holder);
        return choice(firstFallback(targets, open, ranked, request, nowMs));
    }

    private static EngineChoice choice(EngineEntry engine) {
        return engine == null ? EngineChoice.none(false) : EngineChoice.of(engine);
    }

    /** Engines that have a place beside those that the rules reserve for other classes. */
    private List<EngineEntry> withFreePlaces(
            SelectionRequest request, FleetConfig.Service service, Candidates candidates, long nowMs) {
        double reservedShare = request.preference().reservedShare();
        List<EngineEntry> open = new ArrayList<>(candidates.healthy().size());
        for (EngineEntry engine : candidates.healthy()) {
            if (candidates.isOpen(engine)
                    && warmupLimiter.permits(engine, service, nowMs)
                    && engine.load().running(nowMs) < places(engine, reservedShare)) {
                open.add(engine);
            }
        }
        return open;
    }

    private static int places(EngineEntry engine, double reservedShare) {
        return reservedShare <= 0 ? Integer.MAX_VALUE : Math.max(1, (int) (engine.capacity() * (1 - reservedShare)));
    }

    private static boolean isAvailable(EngineEntry holder, Candidates candidates, long nowMs) {
        return candidates.healthy().contains(holder)
                && !candidates.isPassedOver(holder)
                && !holder.slowStart().isWarmingUp(nowMs);
    }

    private EngineEntry firstFallback(
            List<FallbackTarget> targets,
            List<EngineEntry> open,
            List<EngineEntry> ranked,
            SelectionRequest request,
            long nowMs) {
        EngineEntry holder = ranked.get(0);
        long dueMs = 0;
        for (FallbackTarget target : targets) {
            dueMs += target.waitMs();
            if (request.preference().waitedMs() < dueMs) {
                return null;
            }
            EngineEntry best = costModel.cheapest(atTarget(target, open, ranked), holder, request, nowMs);
            if (best != null) {
                return best;
            }
        }
        return null;
    }

    private List<EngineEntry> atTarget(FallbackTarget target, List<EngineEntry> open, List<EngineEntry> ranked) {
        if (target.scope() == FallbackTarget.Scope.NEXT) {
            return nextByRank(open, ranked);
        }
        List<EngineEntry> engines = new ArrayList<>();
        for (EngineEntry engine : open) {
            if (isWithin(engine, target)) {
                engines.add(engine);
            }
        }
        return engines;
    }

    /** The engine that would hold the prefix if the holder were not there, if it is open; else none. */
    private static List<EngineEntry> nextByRank(List<EngineEntry> open, List<EngineEntry> ranked) {
        for (EngineEntry engine : ranked.subList(1, ranked.size())) {
            if (!engine.isDraining() && !engine.ejection().isEjected()) {
                return open.contains(engine) ? List.of(engine) : List.of();
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

    /** Mean of the tokens in flight. The quotients are added, as sums of doubles depend on the order. */
    private static double meanTokens(List<EngineEntry> engines, long nowMs) {
        double mean = 0;
        for (EngineEntry engine : engines) {
            mean += engine.load().tokens(nowMs) / engines.size();
        }
        return mean;
    }
}
