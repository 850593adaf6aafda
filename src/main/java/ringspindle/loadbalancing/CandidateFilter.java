package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/**
 * Narrows the table to the engines that a request may be sent to: what the request permits, what is in service, what is
 * not ejected, and of degraded engines only now and then one. Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class CandidateFilter {
    /** A degraded engine still gets a sixteenth of its share, so that it can show that it has recovered. */
    private static final int TRICKLE_MASK = 15;

    private final EngineTable engines;
    private final ZoneEvacuations evacuations;
    private final RolloutTurns rolloutTurns;
    private final CostModel costModel;

    CandidateFilter(EngineTable engines, ZoneEvacuations evacuations, RolloutTurns rolloutTurns, CostModel costModel) {
        this.engines = engines;
        this.evacuations = evacuations;
        this.rolloutTurns = rolloutTurns;
        this.costModel = costModel;
    }

    /**
     * The candidates of a request. Engines that have been silent for too long are ejected on the way.
     *
     * @param maxConnections how many connections this node may hold to one engine
     */
    Candidates find(SelectionRequest request, int maxConnections, long nowMs) {
        List<EngineEntry> healthy = new ArrayList<>(engines.all().size());
        List<EngineEntry> permitted = request.preference() == null ? List.of() : new ArrayList<>();
        Set<String> inTurn = rolloutTurns.ids(request.service());
        String withheld = rolloutTurns.withheldVersion(request.service());
        boolean anyAvailable = false;
        boolean anyReachable = false;
        for (EngineEntry engine : engines.all()) {
            if (!isPermitted(engine, request)) {
                continue;
            }
            if (request.preference() != null) {
                permitted.add(engine);
            }
            if (!isInService(engine, inTurn) || engine.runsSoftware(withheld)) {
                continue;
            }
            anyAvailable = true;
            engine.ejection().checkSilence(engine.load(), costModel.tokenMs(), nowMs);
            if (!engine.ejection().isEjected()) {
                healthy.add(engine);
                anyReachable |= engine.isReachable();
            }
        }
        spareDegraded(healthy, request.random(), nowMs);
        return new Candidates(healthy, permitted, anyAvailable, anyReachable, maxConnections);
    }

    private static boolean isPermitted(EngineEntry engine, SelectionRequest request) {
        return engine.service().equals(request.service())
                && request.allowedRegions().allows(engine.region().name())
                && !request.excludedEngineIds().contains(engine.id())
                && engine.runsWeights(request.weightsVersion());
    }

    private boolean isInService(EngineEntry engine, Set<String> inTurn) {
        return !engine.isDraining() && !evacuations.contains(engine.zone()) && !inTurn.contains(engine.id());
    }

    /** Leaves out most degraded engines, unless so many are degraded that the rest could not carry the load. */
    private static void spareDegraded(List<EngineEntry> healthy, long random, long nowMs) {
        int degraded = 0;
        for (EngineEntry engine : healthy) {
            degraded += engine.failureRate().isDegraded(nowMs) ? 1 : 0;
        }
        if (degraded > 0 && degraded * 2 <= healthy.size()) {
            healthy.removeIf(engine -> engine.failureRate().isDegraded(nowMs) && !isInTrickle(engine, random));
        }
    }

    private static boolean isInTrickle(EngineEntry engine, long random) {
        return (RendezvousHash.mix(random * 31 ^ engine.key()) & TRICKLE_MASK) == 0;
    }
}
