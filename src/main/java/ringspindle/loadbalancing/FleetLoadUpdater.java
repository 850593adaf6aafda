package ringspindle.loadbalancing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.RegionLoad;

/**
 * Applies the load that the control plane aggregates over all nodes: load and failures of each engine of this region,
 * mean loads of the other regions, and which regions report. Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class FleetLoadUpdater {
    /** Attempt counts summed over all engines of one service. */
    private static final class ServiceAttempts {
        int answered;
        int failed;
    }

    private final EngineTable engines;

    FleetLoadUpdater(EngineTable engines) {
        this.engines = engines;
    }

    void apply(Load load, String homeRegion, long nowMs) {
        Map<String, ServiceAttempts> attempts = updateEngines(load.engines(), nowMs);
        updateFailureRates(load.engines(), attempts, nowMs);
        updateRegions(load.regions(), homeRegion, nowMs);
        updateRegionMeans(load.regions(), homeRegion, nowMs);
    }

    private Map<String, ServiceAttempts> updateEngines(List<EngineLoad> loads, long nowMs) {
        Map<String, ServiceAttempts> byService = new HashMap<>();
        for (EngineLoad load : loads) {
            EngineEntry engine = engines.getByKey(load.engine());
            if (engine == null) {
                continue;
            }
            engine.load().updateTotals(load.running(), load.tokens(), nowMs);
            ServiceAttempts attempts = byService.computeIfAbsent(engine.service(), name -> new ServiceAttempts());
            attempts.answered += load.answered();
            attempts.failed += load.failed();
        }
        return byService;
    }

    private void updateFailureRates(List<EngineLoad> loads, Map<String, ServiceAttempts> byService, long nowMs) {
        for (EngineLoad load : loads) {
            EngineEntry engine = engines.getByKey(load.engine());
            if (engine == null) {
                continue;
            }
            ServiceAttempts attempts = byService.get(engine.service());
            int othersAnswered = attempts.answered - load.answered();
            int othersFailed = attempts.failed - load.failed();
            engine.failureRate().update(load.answered(), load.failed(), othersAnswered, othersFailed, nowMs);
        }
    }

    private void updateRegions(List<RegionLoad> loads, String homeRegion, long nowMs) {
        Set<String> reported = new HashSet<>();
        loads.forEach(load -> reported.add(load.region()));
        reported.add(homeRegion);
        for (RegionState region : engines.regions()) {
            region.update(reported.contains(region.name()), nowMs);
        }
    }

    private void updateRegionMeans(List<RegionLoad> loads, String homeRegion, long nowMs) {
        for (RegionLoad load : loads) {
            if (load.region().equals(homeRegion) || load.engines() == 0) {
                continue;
            }
            int meanRunning = load.running() / load.engines();
            for (EngineEntry engine : engines.all()) {
                if (engine.region().name().equals(load.region())
                        && engine.service().equals(load.service())) {
                    engine.load().updateRegionMean(meanRunning, nowMs);
                }
            }
        }
    }
}
