package ringspindle.loadbalancing;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.loadbalancing.LoadBalancer.HealthProbe;
import ringspindle.loadbalancing.LoadBalancer.NoCapacity;
import ringspindle.loadbalancing.LoadBalancer.RoutingPreference;
import ringspindle.loadbalancing.LoadBalancer.SelectedEngine;
import ringspindle.loadbalancing.LoadBalancer.Selection;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.RegionLoad;
import ringspindle.retry.AttemptOutcome;
import ringspindle.routing.FallbackTarget;
import ringspindle.telemetry.AttemptCounts;
import ringspindle.telemetry.EngineKey;
import ringspindle.telemetry.LatencyHistogram;
import ringspindle.telemetry.LoadSummary;

/**
 * Runs a random sequence of events on three load balancers and adds every result to a running hash. The sequence
 * depends only on the seed.
 */
final class SelectionSequence {
    private static final String[] ZONES = {"a1", "a2", "b1", "c1"};
    private static final String[] REGIONS = {"a", "b", "c"};
    private static final String[] SERVICES = {"warm", "steady", "unlisted"};
    private static final int ENGINES = 20;

    /** Number of decisions by kind. */
    static final class Totals {
        private final Map<String, Integer> byKind = new TreeMap<>();

        Totals() {
            for (String kind : List.of(
                    "selected",
                    "plain",
                    "noCapacity250",
                    "noCapacity600",
                    "noCapacity900",
                    "probe",
                    "retry",
                    "noRetry",
                    "preferred",
                    "plainNone",
                    "preferredNone")) {
                byKind.put(kind, 0);
            }
        }

        void count(String kind) {
            byKind.merge(kind, 1, Integer::sum);
        }

        void add(Totals other) {
            other.byKind.forEach((kind, count) -> byKind.merge(kind, count, Integer::sum));
        }

        boolean allAtLeast(int minimum) {
            return byKind.values().stream().allMatch(count -> count >= minimum);
        }

        @Override
        public String toString() {
            return byKind.toString();
        }
    }

    private record RunningAttempt(LoadBalancer node, String id, SelectionRequest request) {}

    private final Random random;
    private final int maxLeaseNodes;
    private final int maxPromptTokens;
    private final List<LoadBalancer> nodes = new ArrayList<>();
    private final List<RunningAttempt> running = new ArrayList<>();
    private final Totals totals = new Totals();
    private long nowMs;
    private long version;
    private long hash = 1125899906842597L;
    private int events;

    SelectionSequence(long seed) {
        random = new Random(seed);
        nodes.add(createNode("n-1", "a1", "a"));
        nodes.add(createNode("n-2", "a2", "a"));
        nodes.add(createNode("n-3", "b1", "b"));
        // few nodes share the warm-up rate by token buckets, many by time slots; long prompts make the load uneven
        maxLeaseNodes = seed % 3 == 1 ? 9 : 80;
        maxPromptTokens = seed % 3 == 2 ? 60_000 : 9000;
        nodes.forEach(node -> node.updateLease(new Lease(1, maxLeaseNodes / 2, 3000), 0));
        for (int i = 0; i < ENGINES; i++) {
            reportEngine(i);
        }
    }

    private static LoadBalancer createNode(String name, String zone, String region) {
        Properties settings = new Properties();
        Map.of("node.name", name, "node.ip", "10.0.0.1", "node.zone", zone, "node.region", region)
                .forEach(settings::setProperty);
        Map.of("listen.inner", "7000", "seeds", "10.0.0.9:80", "engine.beatMs", "300")
                .forEach(settings::setProperty);
        Map.of("zone.a1", "a", "zone.a2", "a", "zone.b1", "b", "zone.c1", "c").forEach(settings::setProperty);
        Map.of("bound.retryRatio", "0.2", "bound.retrySlack", "50", "bound.retryWindowS", "10")
                .forEach(settings::setProperty);
        Map.of("bound.warmupOverrun", "1.5", "bound.warmupSlack", "5").forEach(settings::setProperty);
        LoadBalancer loadBalancer =
                LoadBalancer.create(((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value());
        String json = "{\"revision\":1,\"routes\":[],\"services\":["
                + "{\"name\":\"warm\",\"maxConnections\":100,\"warmupS\":3,\"warmupPerS\":20},"
                + "{\"name\":\"steady\",\"maxConnections\":40,\"warmupS\":0,\"warmupPerS\":0,"
                + "\"healthPath\":\"/ready\"}]}";
        loadBalancer.updateConfiguration(
                ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value());
        return loadBalancer;
    }

    void run(int count) {
        for (int i = 0; i < count; i++) {
            runEvent();
        }
    }

    int events() {
        return events;
    }

    String checkpoint() {
        return "hash=" + Long.toHexString(hash) + " " + totals;
    }

    Totals totals() {
        return totals;
    }

    private void runEvent() {
        events++;
        nowMs += random.nextInt(400) == 0 ? 4000 : random.nextInt(25);
        int kind = random.nextInt(1000);
        if (kind < 430) {
            select();
        } else if (kind < 760) {
            endAttempt();
        } else if (kind < 800) {
            receiveBytes();
        } else if (kind < 850) {
            requestRetry();
        } else if (kind < 890) {
            runHealthProbes();
        } else if (kind < 915) {
            applyRegionLoad();
        } else if (kind < 950) {
            reportEngine(random.nextInt(ENGINES));
        } else if (kind < 965) {
            randomNode().updateLease(new Lease(1, 1 + random.nextInt(maxLeaseNodes), 3000), nowMs);
        } else if (kind < 975) {
            summarizeLoad();
        } else {
            rareEvent();
        }
    }

    private LoadBalancer randomNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private String randomEngineId() {
        return "i-" + random.nextInt(ENGINES);
    }

    private <T> T randomElement(T[] elements) {
        return elements[random.nextInt(elements.length)];
    }

    private void addToHash(Object... values) {
        for (Object value : values) {
            hash = hash * 31 + value.toString().hashCode();
        }
    }

    private void reportEngine(int i) {
        int remainingWarmupMs = random.nextInt(4) == 0 ? 500 + random.nextInt(4000) : 0;
        boolean draining = random.nextInt(300) == 0;
        Engine engine = new Engine(
                16 + i % 3 * 16,
                remainingWarmupMs,
                draining,
                -1,
                i % 5 == 0 ? -1 : i % 2,
                SERVICES[i % 7 == 0 ? 1 : i % 11 == 0 ? 2 : 0],
                "10.1.0." + (i + 1) + ":80",
                ZONES[i % ZONES.length],
                "v");
        version++;
        nodes.forEach(node -> node.updateEngine("i-" + i, engine, version, nowMs));
    }

    private SelectionRequest randomRequest() {
        Set<String> allowedRegions = random.nextInt(6) == 0 ? Set.of(randomElement(REGIONS)) : Set.of();
        Set<String> excludedEngineIds = random.nextInt(5) == 0 ? Set.of(randomEngineId(), "i-none") : Set.of();
        boolean sharesPrefix = random.nextInt(2) == 0;
        return SelectionRequests.of(SERVICES[random.nextInt(10) == 0 ? 1 + random.nextInt(2) : 0])
                .allowedRegions(allowedRegions)
                .prompt(
                        sharesPrefix ? 1 + random.nextInt(5) * 7919L : 0,
                        sharesPrefix ? 1000 + random.nextInt(20_000) : random.nextInt(200),
                        random.nextInt(8) == 0 ? 0 : random.nextInt(maxPromptTokens))
                .output(random.nextInt(400))
                .excluding(excludedEngineIds)
                .weightsVersion(random.nextInt(8) == 0 ? random.nextInt(3) : -1)
                .random(random.nextLong())
                .preference(random.nextInt(3) == 0 ? randomPreference() : null)
                .build();
    }

    private RoutingPreference randomPreference() {
        return new RoutingPreference(
                random.nextInt(3) * 0.3,
                1 + random.nextInt(3) * 0.5,
                randomFallbackTargets(),
                randomFallbackTargets(),
                random.nextInt(3) * 150L);
    }

    private List<FallbackTarget> randomFallbackTargets() {
        List<FallbackTarget> targets = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            FallbackTarget.Scope scope = randomElement(FallbackTarget.Scope.values());
            List<String> regions = scope == FallbackTarget.Scope.REGIONS ? List.of(randomElement(REGIONS)) : List.of();
            targets.add(new FallbackTarget(scope, regions, random.nextInt(3) * 100));
        }
        return targets;
    }

    private void select() {
        LoadBalancer node = randomNode();
        SelectionRequest request = randomRequest();
        if (random.nextInt(2) == 0) {
            node.onRequestReceived(request.service(), nowMs);
        }
        Selection selection = node.select(request, nowMs);
        if (selection instanceof NoCapacity none) {
            addToHash(none.outcome(), none.retryAfterMs());
            totals.count("noCapacity" + none.retryAfterMs());
            totals.count(request.preference() == null ? "plainNone" : "preferredNone");
            return;
        }
        SelectedEngine engine = (SelectedEngine) selection;
        addToHash(
                engine.id(),
                engine.address(),
                engine.zone(),
                engine.connectionLimit().max());
        totals.count("selected");
        totals.count(request.preference() == null ? "plain" : "preferred");
        running.add(new RunningAttempt(node, engine.id(), request));
        if (random.nextInt(10) > 0) {
            node.onRequestSent(engine.id(), nowMs);
        }
    }

    private void endAttempt() {
        if (running.isEmpty()) {
            return;
        }
        RunningAttempt ended = running.remove(random.nextInt(running.size()));
        boolean failing = Math.floorMod(ended.id().hashCode() + nowMs / 20_000, 9) == 0;
        AttemptOutcome outcome = AttemptOutcome.ANSWERED;
        if ((failing && random.nextInt(2) == 0) || random.nextInt(25) == 0) {
            outcome = randomElement(AttemptOutcome.values());
        }
        if (outcome == AttemptOutcome.MISDIRECTED && random.nextInt(40) > 0) {
            outcome = AttemptOutcome.BROKEN;
        }
        long firstByteMs = outcome == AttemptOutcome.ANSWERED ? random.nextInt(600) : -1;
        if (outcome == AttemptOutcome.BROKEN && random.nextInt(3) == 0) {
            firstByteMs = LoadBalancer.STALE_CONNECTION;
        }
        ended.node().onAttemptEnded(ended.id(), ended.request(), outcome, firstByteMs, nowMs);
    }

    private void receiveBytes() {
        if (!running.isEmpty()) {
            RunningAttempt attempt = running.get(random.nextInt(running.size()));
            attempt.node().onResponseBytes(attempt.id(), nowMs);
        }
    }

    private void requestRetry() {
        boolean granted = randomNode().tryAcquireRetry(SERVICES[random.nextInt(2)], nowMs);
        addToHash(granted);
        totals.count(granted ? "retry" : "noRetry");
    }

    private void runHealthProbes() {
        LoadBalancer node = randomNode();
        for (HealthProbe probe : node.dueHealthProbes(nowMs)) {
            addToHash(probe.id(), probe.address(), probe.healthPath());
            totals.count("probe");
            node.onHealthProbeResult(probe.id(), random.nextInt(2) == 0, random.nextInt(20) == 0 ? 1500 : 0, nowMs);
        }
        addToHash(new TreeMap<>(Map.of("ids", new java.util.TreeSet<>(node.knownEngineIds()))));
    }

    private void applyRegionLoad() {
        List<EngineLoad> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            if (random.nextInt(10) > 0) {
                int failed = random.nextInt(7) == 0 ? random.nextInt(12) : 0;
                int answered = random.nextInt(14);
                engines.add(new EngineLoad(
                        EngineKey.of("i-" + i), answered, failed, random.nextInt(20), random.nextInt(60_000)));
            }
        }
        engines.add(new EngineLoad(EngineKey.of("i-none"), 1, 1, 1, 1));
        List<RegionLoad> regions = new ArrayList<>();
        for (String region : REGIONS) {
            if (random.nextInt(6) > 0) {
                regions.add(new RegionLoad(
                        region,
                        randomElement(SERVICES),
                        random.nextInt(5),
                        90,
                        random.nextInt(80),
                        random.nextInt(10),
                        0));
            }
        }
        randomNode().updateRegionLoad(new Load(1, 1, engines, regions), nowMs);
    }

    private void summarizeLoad() {
        LoadSummary summary = randomNode().summarizeLoad(nowMs);
        for (long key : summary.engineKeys()) {
            AttemptCounts counts = summary.counts(key);
            addToHash(key, counts.answered(), counts.notRun(), counts.failed(), counts.running(), counts.tokens());
            LatencyHistogram latencies = counts.latencies();
            addToHash(latencies.upTo50Ms(), latencies.upTo150Ms(), latencies.upTo400Ms());
            addToHash(latencies.upTo1000Ms(), latencies.upTo2500Ms(), latencies.over2500Ms());
        }
    }

    private void rareEvent() {
        switch (random.nextInt(12)) {
            case 0, 1 -> randomNode().setZoneEvacuated(randomElement(ZONES), true, nowMs);
            case 2, 3, 4 -> {
                for (String zone : ZONES) {
                    randomNode().setZoneEvacuated(zone, false, nowMs);
                }
            }
            case 5, 6 -> randomNode().setHeartbeatMissing(randomEngineId(), true, nowMs);
            case 7, 8 -> {
                for (int i = 0; i < ENGINES; i++) {
                    randomNode().setHeartbeatMissing("i-" + i, false, nowMs);
                }
            }
            case 9 ->
                randomNode().setEnginesInRollout("warm", new HashSet<>(Set.of(randomEngineId(), "i-none")), nowMs);
            case 10 -> randomNode().setEnginesInRollout("warm", Set.of(), nowMs);
            default -> drainEngine();
        }
    }

    /** Occasionally drains an engine, on one node only because the engine never returns to service there. */
    private void drainEngine() {
        if (random.nextInt(6) == 0) {
            randomNode().markDraining(randomEngineId(), random.nextBoolean(), nowMs);
        }
    }
}
