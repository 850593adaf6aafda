package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.NodeId;
import ringspindle.retry.AttemptOutcome;
import ringspindle.telemetry.AttemptCounts;
import ringspindle.telemetry.LoadSummary;
import ringspindle.telemetry.RequestKind;

/**
 * Load balancer over a table of engines; each selection evaluates the candidates again.
 *
 * <p>This class owns the lock: every public method holds the object's monitor until it returns, and all other state of
 * the package is reached only through this object, so the classes behind it need no locks of their own. No method calls
 * a listener, blocks, or reads a clock.
 */
final class EngineTableLoadBalancer implements LoadBalancer {
    /** Added to the remaining warm-up time that an engine reports. */
    private static final int REPORTED_WARMUP_MARGIN_MS = 300;
    /** Added to the services' longest warm-up time when the evacuation of a zone ends. */
    private static final int EVACUATION_WARMUP_MARGIN_MS = 1000;
    /** Idle engines are removed after missing heartbeats for this many heartbeat intervals. */
    private static final long EXPIRY_HEARTBEATS = 20;

    private static final ConnectionLimit DEFAULT_CONNECTION_LIMIT = new ConnectionLimit(16, true);
    private static final String DEFAULT_HEALTH_PATH = "/health";

    private static final int RETRY_AFTER_WARMUP_MS = 250;
    private static final int RETRY_AFTER_NO_CAPACITY_MS = 600;
    private static final int RETRY_AFTER_NO_ENGINE_MS = 900;

    private final EngineTable engines = new EngineTable();
    private final ZoneEvacuations evacuations = new ZoneEvacuations();
    private final RolloutExclusions rolloutExclusions = new RolloutExclusions();
    private final QuotaShare quotaShare = new QuotaShare();
    private final FleetLoadUpdater fleetLoadUpdater = new FleetLoadUpdater(engines);
    private final RetryBudget retryBudget;
    private final WarmupLimiter warmupLimiter;
    private final CostModel costModel;
    private final CandidateFilter candidateFilter;
    private final LeastCostPolicy leastCostPolicy;
    private final RoutingRulePolicy routingRulePolicy;
    private NodeConfig settings;
    private FleetConfig configuration;

    EngineTableLoadBalancer(NodeConfig settings) {
        this.settings = settings;
        retryBudget = new RetryBudget(settings, quotaShare);
        warmupLimiter = new WarmupLimiter(settings, quotaShare);
        costModel = new CostModel(settings, quotaShare);
        candidateFilter = new CandidateFilter(engines, evacuations, rolloutExclusions, costModel);
        leastCostPolicy = new LeastCostPolicy(costModel, warmupLimiter);
        routingRulePolicy = new RoutingRulePolicy(settings, costModel, warmupLimiter);
    }

    @Override
    public synchronized void updateConfiguration(FleetConfig newConfiguration) {
        configuration = newConfiguration;
    }

    @Override
    public synchronized void updateSettings(NodeConfig newSettings) {
        settings = newSettings;
        retryBudget.updateSettings(newSettings);
        warmupLimiter.updateSettings(newSettings);
        costModel.updateSettings(newSettings);
        routingRulePolicy.updateSettings(newSettings);
    }

    @Override
    public synchronized void updateEngine(String id, Engine report, long version, long nowMs) {
        if (engines.isRemoved(id)) {
            return;
        }
        EngineEntry known = engines.get(id);
        if (known != null && version <= known.version()) {
            return;
        }
        NodeId address = NodeId.of(report.address());
        RegionState region = engines.region(settings.regionOf(report.zone()));
        EngineEntry engine = known == null ? engines.add(id, nowMs) : known;
        engine.update(report, address, region, version);
        extendReportedSlowStart(engine, report.coldMs(), nowMs);
        long zoneUntilMs = evacuations.slowStartUntilMs(report.zone());
        if (zoneUntilMs > nowMs) {
            engine.slowStart().extend(zoneUntilMs, nowMs);
        }
    }

    private static void extendReportedSlowStart(EngineEntry engine, int remainingMs, long nowMs) {
        if (remainingMs > 0) {
            engine.slowStart().extend(nowMs + remainingMs + REPORTED_WARMUP_MARGIN_MS, nowMs);
        }
    }

    @Override
    public synchronized void markDraining(String id, boolean removed, long nowMs) {
        engines.markDraining(id);
        if (removed) {
            engines.markRemoved(id);
        }
    }

    @Override
    public synchronized void setZoneEvacuated(String zone, boolean evacuated, long nowMs) {
        if (evacuated) {
            evacuations.start(zone);
            return;
        }
        if (!evacuations.end(zone)) {
            return;
        }
        long untilMs = nowMs + (long) (longestWarmupS() * 1000) + EVACUATION_WARMUP_MARGIN_MS;
        evacuations.startSlowStart(zone, untilMs);
        for (EngineEntry engine : engines.all()) {
            if (engine.zone().equals(zone)) {
                engine.slowStart().extend(untilMs, nowMs);
            }
        }
    }

    private double longestWarmupS() {
        double longestS = 0;
        if (configuration != null) {
            for (FleetConfig.Service service : configuration.services()) {
                longestS = Math.max(longestS, service.warmupS());
            }
        }
        return longestS;
    }

    @Override
    public synchronized void setHeartbeatMissing(String id, boolean missing, long nowMs) {
        engines.setHeartbeatMissing(id, missing, nowMs);
    }

    @Override
    public synchronized void updateLease(Lease lease, long nowMs) {
        quotaShare.updateLease(lease, nowMs);
    }

    @Override
    public synchronized LoadSummary summarizeLoad(long nowMs) {
        List<LoadSummary> summaries = new ArrayList<>();
        for (EngineEntry engine : engines.all()) {
            if (engine.isInactive()) {
                continue;
            }
            engine.load().markReported();
            for (RequestKind kind : RequestKind.values()) {
                AttemptCounts counts = engine.attempts().counts(kind, nowMs);
                if (!counts.isEmpty()) {
                    summaries.add(LoadSummary.of(engine.key(), kind, counts));
                }
            }
            engine.updateInactive(nowMs);
        }
        return LoadSummary.mergeAll(summaries);
    }

    @Override
    public synchronized void updateRegionLoad(Load load, long nowMs) {
        fleetLoadUpdater.apply(load, settings.region(), nowMs);
    }

    @Override
    public synchronized void setEnginesInRollout(String service, Set<String> ids, long nowMs) {
        for (String id : rolloutExclusions.engineIds(service)) {
            EngineEntry engine = engines.get(id);
            if (engine != null && !ids.contains(id)) {
                engine.restartSlowStart(service(service), nowMs);
            }
        }
        rolloutExclusions.setEngineIds(service, ids);
    }

    @Override
    public synchronized void setExcludedSoftwareVersion(String service, String version) {
        rolloutExclusions.setSoftwareVersion(service, version);
    }

    @Override
    public synchronized int capacityInService(String service) {
        int capacity = 0;
        for (EngineEntry engine : engines.all()) {
            boolean inService = engine.service().equals(service)
                    && !engine.isDraining()
                    && !engine.isHeartbeatMissing()
                    && !engine.ejection().isEjected()
                    && !evacuations.contains(engine.zone());
            capacity += inService ? engine.capacity() : 0;
        }
        return capacity;
    }

    @Override
    public synchronized Selection select(SelectionRequest request, long nowMs) {
        FleetConfig.Service service = service(request.service());
        ConnectionLimit connectionLimit = connectionLimit(service);
        Candidates candidates = candidateFilter.find(request, connectionLimit.max(), nowMs);
        SelectionPolicy policy = request.preference() == null ? leastCostPolicy : routingRulePolicy;
        EngineChoice choice = policy.choose(request, service, candidates, nowMs);
        return choice.engine() == null
                ? noCapacity(candidates, choice.limitedByWarmup())
                : recordSelection(choice.engine(), request, service, connectionLimit, nowMs);
    }

    private static NoCapacity noCapacity(Candidates candidates, boolean limitedByWarmup) {
        if (!candidates.anyAvailable()) {
            return new NoCapacity(Outcome.NO_ENGINE, RETRY_AFTER_NO_ENGINE_MS);
        }
        return new NoCapacity(Outcome.NO_ROOM, limitedByWarmup ? RETRY_AFTER_WARMUP_MS : RETRY_AFTER_NO_CAPACITY_MS);
    }

    /** Counts the request as running at the engine. */
    private SelectedEngine recordSelection(
            EngineEntry engine,
            SelectionRequest request,
            FleetConfig.Service service,
            ConnectionLimit connectionLimit,
            long nowMs) {
        warmupLimiter.take(engine, service, nowMs);
        engine.markActive();
        engine.load().start(request.tokensInFlight());
        engine.attempts().start(request.kind(), request.tokensInFlight(), nowMs);
        return new SelectedEngine(engine.id(), engine.address(), engine.zone(), connectionLimit);
    }

    private ConnectionLimit connectionLimit(FleetConfig.Service service) {
        return service == null
                ? DEFAULT_CONNECTION_LIMIT
                : ConnectionLimit.shareOf(service.maxConnections(), quotaShare.maxNodes());
    }

    private FleetConfig.Service service(String name) {
        return configuration == null ? null : configuration.service(name);
    }

    @Override
    public synchronized void onRequestSent(String id, long nowMs) {
        EngineEntry engine = engines.get(id);
        if (engine != null) {
            engine.ejection().onRequestSent(nowMs);
        }
    }

    @Override
    public synchronized void onResponseBytes(String id, long nowMs) {
        EngineEntry engine = engines.get(id);
        if (engine != null) {
            engine.ejection().onResponseBytes(nowMs);
            engine.region().onResponse(nowMs);
        }
    }

    @Override
    public synchronized void onAttemptEnded(
            String id, SelectionRequest request, AttemptOutcome outcome, long firstByteMs, long nowMs) {
        EngineEntry engine = engines.get(id);
        if (engine == null) {
            return;
        }
        boolean staleConnection = firstByteMs == STALE_CONNECTION;
        boolean countsAsFailure = outcome.countsAsEngineFailure() && !staleConnection;
        recordEnd(engine, request, staleConnection ? AttemptOutcome.PARENT_ENDED : outcome, firstByteMs, nowMs);
        if (countsAsFailure) {
            AttemptCounts ownCounts = engine.attempts().countsOfAllKinds(nowMs);
            // own counts are compared with an assumed failure rate of 0 at the other engines
            engine.failureRate().update(ownCounts.answered(), ownCounts.failed(), 1, 0, nowMs);
        }
        if (engine.load().isIdle()) {
            engine.ejection().onIdle();
            if (engines.isRemoved(id)) {
                engines.remove(engine);
                return;
            }
        }
        if (outcome == AttemptOutcome.MISDIRECTED) {
            // another engine now has this address, so the engine that was selected no longer exists
            engine.markDraining();
            return;
        }
        engine.ejection().onAttemptEnded(outcome, countsAsFailure, nowMs);
        if (outcome == AttemptOutcome.ANSWERED) {
            costModel.learn(engine, request, firstByteMs);
        }
    }

    private static void recordEnd(
            EngineEntry engine, SelectionRequest request, AttemptOutcome counted, long firstByteMs, long nowMs) {
        engine.load().end(request.tokensInFlight());
        engine.attempts().end(request.kind(), request.tokensInFlight(), counted, firstByteMs, nowMs);
    }

    @Override
    public synchronized void onRequestReceived(String service, long nowMs) {
        retryBudget.onRequestReceived(service, nowMs);
    }

    @Override
    public synchronized boolean tryAcquireRetry(String service, long nowMs) {
        return retryBudget.tryAcquire(service, nowMs);
    }

    @Override
    public synchronized List<HealthProbe> dueHealthProbes(long nowMs) {
        List<HealthProbe> probes = new ArrayList<>();
        for (EngineEntry engine : engines.all()) {
            if (engine.isInactive()) {
                continue;
            }
            OutlierEjection ejection = engine.ejection();
            ejection.ejectIfUnresponsive(engine.load(), costModel.tokenMs(), nowMs);
            if (!ejection.isProbeDue(nowMs) || engine.isDraining()) {
                continue;
            }
            ejection.scheduleNextProbe(nowMs);
            if (!engine.isHeartbeatMissing() && !evacuations.contains(engine.zone())) {
                probes.add(new HealthProbe(engine.id(), engine.address(), healthPath(engine)));
            }
        }
        engines.removeExpired(EXPIRY_HEARTBEATS * settings.engineBeatMs(), nowMs);
        return probes;
    }

    private String healthPath(EngineEntry engine) {
        FleetConfig.Service service = service(engine.service());
        return service == null ? DEFAULT_HEALTH_PATH : service.healthPath();
    }

    @Override
    public synchronized void onHealthProbeResult(String id, boolean healthy, int remainingWarmupMs, long nowMs) {
        EngineEntry engine = engines.get(id);
        if (engine == null) {
            return;
        }
        extendReportedSlowStart(engine, remainingWarmupMs, nowMs);
        if (healthy) {
            engine.ejection().onProbeSucceeded(engine.load(), nowMs);
        }
    }

    @Override
    public synchronized Stats stats() {
        int ejected = 0;
        int draining = 0;
        int heartbeatMissing = 0;
        for (EngineEntry engine : engines.all()) {
            ejected += engine.ejection().isEjected() ? 1 : 0;
            draining += engine.isDraining() ? 1 : 0;
            heartbeatMissing += engine.isHeartbeatMissing() ? 1 : 0;
        }
        return new Stats(
                engines.all().size(),
                ejected,
                draining,
                heartbeatMissing,
                engines.ejections(),
                retryBudget.granted(),
                retryBudget.refused());
    }

    @Override
    public synchronized Set<String> knownEngineIds() {
        return new HashSet<>(engines.ids());
    }
}
