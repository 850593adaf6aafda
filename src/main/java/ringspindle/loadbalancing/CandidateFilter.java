package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/**
 * Finds the engines that a request may be sent to: those that the request permits, that are in service and that are not
 * ejected. Degraded engines are included for a small sample of the requests only. Confined to the lock of {@link
 * EngineTableLoadBalancer}.
 */
final class CandidateFilter {
    /** Degraded engines keep 1/16 of their traffic, so that their recovery can be observed. */
    private static final int DEGRADED_SAMPLE_MASK = 15;

    private final EngineTable engines;
    private final ZoneEvacuations evacuations;
    private final RolloutExclusions rolloutExclusions;
    private final CostModel costModel;

    CandidateFilter(
            EngineTable engines,
            ZoneEvacuations evacuations,
            RolloutExclusions rolloutExclusions,
            CostModel costModel) {
        this.engines = engines;
        this.evacuations = evacuations;
        this.rolloutExclusions = rolloutExclusions;
        this.costModel = costModel;
    }

    /**
     * Returns the candidates of a request. As a side effect, ejects engines that have not responded for too long.
     *
     * @param maxConnections maximum number of connections from this node to one engine
     */
    Candidates find(SelectionRequest request, int maxConnections, long nowMs) {
        List<EngineEntry> healthy = new ArrayList<>(engines.all().size());
        List<EngineEntry> permitted = request.preference() == null ? List.of() : new ArrayList<>();
        Set<String> inRollout = rolloutExclusions.engineIds(request.service());
        String excludedVersion = rolloutExclusions.softwareVersion(request.service());
        boolean anyAvailable = false;
        boolean anyReachable = false;
        for (EngineEntry engine : engines.all()) {
            if (!isPermitted(engine, request)) {
                continue;
            }
            if (request.preference() != null) {
                permitted.add(engine);
            }
            if (!isInService(engine, inRollout) || engine.runsSoftware(excludedVersion)) {
                continue;
            }
            anyAvailable = true;
            engine.ejection().ejectIfUnresponsive(engine.load(), costModel.tokenMs(), nowMs);
            if (!engine.ejection().isEjected()) {
                healthy.add(engine);
                anyReachable |= engine.isReachable();
            }
        }
        limitDegraded(healthy, request.random(), nowMs);
        return new Candidates(healthy, permitted, anyAvailable, anyReachable, maxConnections);
    }

    private static boolean isPermitted(EngineEntry engine, SelectionRequest request) {
        return engine.service().equals(request.service())
                && request.allowedRegions().allows(engine.region().name())
                && !request.excludedEngineIds().contains(engine.id())
                && engine.runsWeights(request.weightsVersion());
    }

    private boolean isInService(EngineEntry engine, Set<String> inRollout) {
        return !engine.isDraining() && !evacuations.contains(engine.zone()) && !inRollout.contains(engine.id());
    }

    /**
     * Leaves out degraded engines for most requests. Keeps them all if more than half of the healthy engines are
     * degraded, because the others could not serve the load alone.
     */
    private static void limitDegraded(List<EngineEntry> healthy, long random, long nowMs) {
        int degraded = 0;
        for (EngineEntry engine : healthy) {
            degraded += engine.failureRate().isDegraded(nowMs) ? 1 : 0;
        }
        if (degraded > 0 && degraded * 2 <= healthy.size()) {
            healthy.removeIf(engine -> engine.failureRate().isDegraded(nowMs) && !isSampled(engine, random));
        }
    }

    private static boolean isSampled(EngineEntry engine, long random) {
        return (RendezvousHash.mix(random * 31 ^ engine.key()) & DEGRADED_SAMPLE_MASK) == 0;
    }
}
