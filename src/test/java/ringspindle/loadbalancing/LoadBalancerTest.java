package ringspindle.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import ringspindle.loadbalancing.LoadBalancer.SelectedEngine;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.RegionLoad;
import ringspindle.retry.AttemptOutcome;
import ringspindle.telemetry.AttemptCounts;
import ringspindle.telemetry.EngineKey;
import ringspindle.telemetry.LoadSummary;
import ringspindle.telemetry.RequestKind;

/** Selection of engines, and that the shares of all nodes together stay within their limit in every sliding window. */
class LoadBalancerTest {
    @Test
    void selectsOnlyPermittedEnginesInService() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateLease(new Lease(1, 1, 100_000), 0);
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        loadBalancer.updateEngine("i-b", LoadBalancers.engine("b1", 2, 0, false), 1, 0);
        assertEquals("i-a", LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 10)));
        assertEquals(
                "i-b", LoadBalancers.id(loadBalancer.select(LoadBalancers.request(Set.of("b"), Set.of(), -1), 10)));
        assertEquals(
                "i-b", LoadBalancers.id(loadBalancer.select(LoadBalancers.request(Set.of(), Set.of("i-a"), -1), 10)));
        assertEquals("none", LoadBalancers.id(loadBalancer.select(LoadBalancers.request(Set.of(), Set.of(), 2), 10)));
        loadBalancer.setEnginesInRollout("s", Set.of("i-a"), 20);
        assertEquals("i-b", LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 30)));
        loadBalancer.setZoneEvacuated("b1", true, 40);
        assertEquals("none", LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 50)));
        loadBalancer.setEnginesInRollout("s", Set.of(), 60);
        assertEquals("i-a", LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 2000)));
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, true), 2, 2100);
        assertEquals("none", LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 2200)));
        loadBalancer.setZoneEvacuated("b1", false, 2300);
        loadBalancer.markDraining("i-b", false, 2400);
        assertEquals("none", LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 9000)));
    }

    /**
     * With 100 connections for 90 nodes, a node has one connection to each engine and skips an engine while it is in
     * use.
     */
    @Test
    void skipsEngineWithoutFreeConnection() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateLease(new Lease(1, 90, 100_000), 0);
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        loadBalancer.updateEngine("i-b", LoadBalancers.engine("b1", 2, 0, false), 1, 0);
        SelectionRequest request =
                SelectionRequests.of("s").prompt(4711, 13_000, 100).output(50).build();
        SelectedEngine first = (SelectedEngine) loadBalancer.select(request, 10);
        SelectedEngine second = (SelectedEngine) loadBalancer.select(request, 10);
        assertEquals(new ConnectionLimit(1, true), first.connectionLimit());
        assertNotEquals(first.id(), second.id());
        assertEquals("none", LoadBalancers.id(loadBalancer.select(request, 10)));
        loadBalancer.onAttemptEnded(first.id(), request, AttemptOutcome.ANSWERED, 20, 30);
        assertEquals(first.id(), LoadBalancers.id(loadBalancer.select(request, 40)));
    }

    @Test
    void keepsNoIdleConnectionsWithMoreNodesThanConnections() {
        assertEquals(new ConnectionLimit(3, true), ConnectionLimit.shareOf(100, 30));
        assertEquals(new ConnectionLimit(1, false), ConnectionLimit.shareOf(100, 91));
    }

    @Test
    void canceledRequestsDoNotEjectEngine() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        for (int i = 0; i < 50; i++) {
            assertEquals("i-a", LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 100 + i)));
            loadBalancer.onRequestSent("i-a", 100 + i);
            loadBalancer.onAttemptEnded("i-a", LoadBalancers.anyRequest(), AttemptOutcome.PARENT_ENDED, -1, 101 + i);
        }
        assertEquals(List.of(), loadBalancer.dueHealthProbes(500));
    }

    @Test
    void ejectsUnresponsiveEngineUntilHealthProbeSucceeds() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        loadBalancer.select(LoadBalancers.anyRequest(), 0);
        loadBalancer.onRequestSent("i-a", 0);
        assertEquals(List.of(), loadBalancer.dueHealthProbes(500));
        assertEquals(1, loadBalancer.dueHealthProbes(2500).size());
        assertEquals("none", LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 2600)));
        loadBalancer.onHealthProbeResult("i-a", true, 0, 2700);
        assertEquals("i-a", LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 2800)));
    }

    @Test
    void retriesOfAllNodesStayWithinBudget() {
        for (long seed = 1; seed <= 10; seed++) {
            Random random = new Random(seed);
            int nodes = 9;
            List<LoadBalancer> loadBalancers = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                loadBalancers.add(LoadBalancers.create("a1", "a"));
            }
            List<Long> retriesMs = new ArrayList<>();
            List<Long> requestsMs = new ArrayList<>();
            for (long nowMs = 0; nowMs < 60_000; nowMs += 20) {
                long leaseNowMs = nowMs;
                if (nowMs % 1000 == 0) {
                    loadBalancers.forEach(each -> each.updateLease(new Lease(1, nodes, 3000), leaseNowMs));
                }
                LoadBalancer loadBalancer = loadBalancers.get(random.nextInt(nodes));
                loadBalancer.onRequestReceived("s", nowMs);
                requestsMs.add(nowMs);
                for (int i = 0; i < 2; i++) {
                    if (loadBalancer.tryAcquireRetry("s", nowMs)) {
                        retriesMs.add(nowMs);
                    }
                }
            }
            for (long windowMs = 0; windowMs < 50_000; windowMs += 500) {
                long fromMs = windowMs;
                long retries = retriesMs.stream()
                        .filter(ms -> ms >= fromMs && ms < fromMs + 10_000)
                        .count();
                long requests = requestsMs.stream()
                        .filter(ms -> ms >= fromMs && ms < fromMs + 10_000)
                        .count();
                assertTrue(
                        retries <= 0.2 * requests + 50,
                        "seed " + seed + ": " + retries + " retries for " + requests + " requests in the window from "
                                + fromMs);
            }
            assertTrue(retriesMs.size() > 50, "too few retries granted: " + retriesMs.size());
        }
    }

    /** With 80 and 300 nodes, while the node that grants leases changes and leases expire at times. */
    @Test
    void retriesOfManyNodesStayWithinBudgetAcrossLeaseChanges() {
        for (int nodes : new int[] {80, 300}) {
            Random random = new Random(nodes);
            List<LoadBalancer> loadBalancers = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                loadBalancers.add(LoadBalancers.create("a1", "a"));
            }
            List<Long> retriesMs = new ArrayList<>();
            List<Long> requestsMs = new ArrayList<>();
            for (long nowMs = 0; nowMs < 40_000; nowMs += 4) {
                long leaseNowMs = nowMs;
                // a new granting node waits until the leases of the previous one have expired
                boolean renewed = nowMs % 20_000 < 12_000 || nowMs % 20_000 > 15_500;
                if (nowMs % 1000 == 0 && renewed) {
                    loadBalancers.forEach(
                            each -> each.updateLease(new Lease(1 + leaseNowMs / 20_000, nodes, 3000), leaseNowMs));
                }
                LoadBalancer loadBalancer = loadBalancers.get(random.nextInt(nodes));
                loadBalancer.onRequestReceived("s", nowMs);
                requestsMs.add(nowMs);
                for (int i = 0; i < 3; i++) {
                    if (loadBalancer.tryAcquireRetry("s", nowMs)) {
                        retriesMs.add(nowMs);
                    }
                }
            }
            for (long windowMs = 0; windowMs < 30_000; windowMs += 500) {
                long fromMs = windowMs;
                long retries = retriesMs.stream()
                        .filter(ms -> ms >= fromMs && ms < fromMs + 10_000)
                        .count();
                long requests = requestsMs.stream()
                        .filter(ms -> ms >= fromMs && ms < fromMs + 10_000)
                        .count();
                assertTrue(
                        retries <= 0.2 * requests + 50,
                        nodes + " nodes: " + retries + " retries for " + requests + " requests in the window from "
                                + fromMs);
            }
            assertTrue(retriesMs.size() > 200, nodes + " nodes: too few retries granted: " + retriesMs.size());
        }
    }

    @Test
    void grantsNoRetrySlackWithoutLease() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateLease(new Lease(1, 9, 3000), 0);
        assertTrue(loadBalancer.tryAcquireRetry("s", 100));
        assertFalse(LoadBalancers.create("a1", "a").tryAcquireRetry("s", 100));
        for (int i = 0; i < 100; i++) {
            assertFalse(loadBalancer.tryAcquireRetry("s", 20_000 + i), "an expired lease must not grant slack");
        }
    }

    @Test
    void warmupRateOfAllNodesStaysWithinLimit() {
        int nodes = 9;
        List<LoadBalancer> loadBalancers = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
            loadBalancer.updateLease(new Lease(1, nodes, 100_000), 0);
            loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 20_000, false), 1, 0);
            loadBalancers.add(loadBalancer);
        }
        List<Long> sentMs = new ArrayList<>();
        for (long nowMs = 0; nowMs < 15_000; nowMs += 5) {
            for (LoadBalancer loadBalancer : loadBalancers) {
                if (loadBalancer.select(LoadBalancers.anyRequest(), nowMs) instanceof SelectedEngine) {
                    sentMs.add(nowMs);
                    loadBalancer.onAttemptEnded("i-a", LoadBalancers.anyRequest(), AttemptOutcome.ANSWERED, 10, nowMs);
                }
            }
        }
        for (long windowMs = 0; windowMs < 14_000; windowMs += 50) {
            long fromMs = windowMs;
            long sent = sentMs.stream()
                    .filter(ms -> ms >= fromMs && ms < fromMs + 1000)
                    .count();
            assertTrue(sent <= 20 * 1.5 + 5, sent + " requests in the second from " + fromMs);
        }
        assertTrue(sentMs.size() > 100, "too few requests to the warming engine: " + sentMs.size());
    }

    @Test
    void allNodesSelectSameEngineForSharedPrefix() {
        Set<String> selectedIds = new HashSet<>();
        for (int node = 0; node < 6; node++) {
            LoadBalancer loadBalancer = LoadBalancers.create(node % 2 == 0 ? "a1" : "b1", node % 2 == 0 ? "a" : "b");
            for (int i = 1; i <= 6; i++) {
                loadBalancer.updateEngine("i-" + i, LoadBalancers.engine(i % 2 == 0 ? "a1" : "b1", i, 0, false), 1, 0);
            }
            selectedIds.add(LoadBalancers.id(loadBalancer.select(
                    SelectionRequests.of("s")
                            .prompt(4711, 13_000, 3000)
                            .output(100)
                            .random(node)
                            .build(),
                    10)));
        }
        assertEquals(1, selectedIds.size(), selectedIds.toString());
    }

    private static Load regionLoad(Map<String, int[]> byEngine, String... regions) {
        List<EngineLoad> rows = new ArrayList<>();
        byEngine.forEach(
                (id, counts) -> rows.add(new EngineLoad(EngineKey.of(id), counts[0], counts[1], counts[2], 0)));
        List<RegionLoad> regionRows = new ArrayList<>();
        for (String region : regions) {
            regionRows.add(new RegionLoad(region, "s", 3, 90, 6, 10, 0));
        }
        return new Load(1, 1, rows, regionRows);
    }

    private static Map<String, Integer> selectionCounts(LoadBalancer loadBalancer, int requests, long nowMs) {
        Map<String, Integer> counts = new TreeMap<>();
        Random random = new Random(5);
        for (int i = 0; i < requests; i++) {
            SelectionRequest request = SelectionRequests.of("s")
                    .prompt(0, 0, 100)
                    .output(50)
                    .random(random.nextLong())
                    .build();
            String id = LoadBalancers.id(loadBalancer.select(request, nowMs));
            counts.merge(id, 1, Integer::sum);
            loadBalancer.onAttemptEnded(id, request, AttemptOutcome.PARENT_ENDED, -1, nowMs);
        }
        return counts;
    }

    @Test
    void limitsTrafficToEngineWithHighFailureRateDespiteHealthyProbe() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        for (int i = 1; i <= 6; i++) {
            loadBalancer.updateEngine("i-" + i, LoadBalancers.engine("a1", i, 0, false), 1, 0);
        }
        int before = selectionCounts(loadBalancer, 3000, 10).get("i-1");
        assertTrue(before > 300, "before: " + before);
        Map<String, int[]> loads = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            loads.put("i-" + i, i == 1 ? new int[] {7, 6, 1} : new int[] {13, i == 3 ? 1 : 0, 1});
        }
        loadBalancer.updateRegionLoad(regionLoad(loads), 20);
        loadBalancer.onHealthProbeResult("i-1", true, 0, 25);
        int after = selectionCounts(loadBalancer, 3000, 30).getOrDefault("i-1", 0);
        assertTrue(after > 0 && after < before / 8, "not a small share: before " + before + ", after " + after);
        assertTrue(
                selectionCounts(loadBalancer, 3000, 3000).get("i-1") > before / 2,
                "normal share once it is no longer degraded");
        loadBalancer.updateRegionLoad(regionLoad(loads), 3100);
        assertTrue(
                selectionCounts(loadBalancer, 3000, 4900).get("i-1") < before / 8,
                "degraded for longer the second time");
    }

    @Test
    void noEngineIsDegradedIfAllFailAlike() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        Map<String, int[]> loads = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            loadBalancer.updateEngine("i-" + i, LoadBalancers.engine("a1", i, 0, false), 1, 0);
            loads.put("i-" + i, new int[] {6, 6, 1});
        }
        loadBalancer.updateRegionLoad(regionLoad(loads), 20);
        Map<String, Integer> counts = selectionCounts(loadBalancer, 3000, 30);
        assertEquals(6, counts.size());
        counts.forEach((id, selections) -> assertTrue(selections > 300, id + " " + selections));
    }

    @Test
    void keepsDegradedEnginesIfMostAreDegraded() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        Map<String, int[]> loads = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            loadBalancer.updateEngine("i-" + i, LoadBalancers.engine("a1", i, 0, false), 1, 0);
        }
        // one after the other, so that each is an outlier compared with the others at that time
        for (int i = 1; i <= 4; i++) {
            loads.clear();
            for (int j = 1; j <= 6; j++) {
                loads.put("i-" + j, new int[] {20, j == i ? 19 : 0, 1});
            }
            loadBalancer.updateRegionLoad(regionLoad(loads), 20 + i);
        }
        assertTrue(
                selectionCounts(loadBalancer, 3000, 30).get("i-1") > 200,
                "four of six engines are degraded, so all of them serve");
    }

    @Test
    void usesLoadOfOtherNodesWhileRecent() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-1", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        loadBalancer.updateEngine("i-2", LoadBalancers.engine("a1", 2, 0, false), 1, 0);
        loadBalancer.updateRegionLoad(regionLoad(Map.of("i-1", new int[] {5, 0, 40}, "i-2", new int[] {5, 0, 2})), 100);
        assertNull(selectionCounts(loadBalancer, 200, 200).get("i-1"), "i-1 runs far more requests of other nodes");
        assertEquals(2, selectionCounts(loadBalancer, 200, 9000).size(), "outdated load must be ignored");
    }

    @Test
    void unreachableEnginesAndRegionsAreLastResort() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        loadBalancer.updateEngine("i-b", LoadBalancers.engine("b1", 2, 0, false), 1, 0);
        SelectionRequest longRequest = SelectionRequests.of("s")
                .prompt(4712, 13_000, 3000)
                .output(100)
                .random(1)
                .build();
        loadBalancer.setHeartbeatMissing("i-a", true, 10);
        assertEquals(Map.of("i-b", 50), selectionCounts(loadBalancer, 50, 20));
        loadBalancer.setHeartbeatMissing("i-a", false, 30);
        assertEquals(Map.of("i-a", 50), selectionCounts(loadBalancer, 50, 40));
        loadBalancer.updateRegionLoad(regionLoad(Map.of(), "a", "b"), 50);
        loadBalancer.updateRegionLoad(regionLoad(Map.of(), "a"), 1000);
        assertEquals(
                "i-a",
                LoadBalancers.id(loadBalancer.select(longRequest, 1010)),
                "region b is unreachable, whichever engine holds the prefix");
        assertEquals(
                "i-b",
                LoadBalancers.id(loadBalancer.select(LoadBalancers.request(Set.of("b"), Set.of(), -1), 1020)),
                "allowed regions apply even if unreachable");
        loadBalancer.setHeartbeatMissing("i-b", true, 1030);
        loadBalancer.setHeartbeatMissing("i-a", true, 1030);
        assertNotEquals(
                "none",
                LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 1040)),
                "all engines may be selected if heartbeats of all are missing");
    }

    @Test
    void staleConnectionDoesNotCountAgainstEngine() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        for (int i = 0; i < 6; i++) {
            loadBalancer.select(LoadBalancers.anyRequest(), 100 + i);
            loadBalancer.onAttemptEnded(
                    "i-a", LoadBalancers.anyRequest(), AttemptOutcome.BROKEN, LoadBalancer.STALE_CONNECTION, 101 + i);
        }
        assertEquals(List.of(), loadBalancer.dueHealthProbes(200));
        assertEquals(
                0, loadBalancer.summarizeLoad(200).counts(EngineKey.of("i-a")).failed());
        for (int i = 0; i < 6; i++) {
            loadBalancer.select(LoadBalancers.anyRequest(), 300 + i);
            loadBalancer.onAttemptEnded("i-a", LoadBalancers.anyRequest(), AttemptOutcome.BROKEN, -1, 301 + i);
        }
        assertEquals(
                6, loadBalancer.summarizeLoad(400).counts(EngineKey.of("i-a")).failed());
        assertEquals(1, loadBalancer.dueHealthProbes(400).size());
    }

    @Test
    void loadSummaryHasRecentAndRunningAttempts() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        SelectionRequest longRequest = SelectionRequests.of("s")
                .prompt(4712, 13_000, 3000)
                .output(100)
                .random(1)
                .build();
        loadBalancer.select(longRequest, 100);
        loadBalancer.select(LoadBalancers.anyRequest(), 100);
        loadBalancer.onAttemptEnded("i-a", LoadBalancers.anyRequest(), AttemptOutcome.ANSWERED, 120, 200);
        LoadSummary summary = loadBalancer.summarizeLoad(300);
        assertEquals(1, summary.counts(EngineKey.of("i-a"), RequestKind.LONG).running());
        assertEquals(1, summary.counts(EngineKey.of("i-a"), RequestKind.SHORT).answered());
        assertEquals(
                1,
                summary.counts(EngineKey.of("i-a"), RequestKind.SHORT)
                        .latencies()
                        .upTo150Ms());
        loadBalancer.onAttemptEnded("i-a", longRequest, AttemptOutcome.PARENT_ENDED, -1, 400);
        AttemptCounts laterCounts = loadBalancer.summarizeLoad(2500).counts(EngineKey.of("i-a"));
        assertTrue(laterCounts.isEmpty(), "canceled attempts must not count and old ones must expire: " + laterCounts);
    }

    /**
     * Time slots at a warming engine: for any number of nodes, the limit holds in every second and the engine is not
     * starved.
     */
    @Test
    void warmupRateOfManyNodesStaysWithinLimit() {
        for (int nodes : new int[] {24, 40, 77, 300}) {
            List<LoadBalancer> loadBalancers = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                LoadBalancer loadBalancer = LoadBalancers.create("n-" + i, "a1", "a");
                loadBalancer.updateLease(new Lease(1, nodes, 100_000), 0);
                loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 60_000, false), 1, 0);
                loadBalancers.add(loadBalancer);
            }
            List<Long> sentMs = new ArrayList<>();
            for (long nowMs = 0; nowMs < 30_000; nowMs += 10) {
                for (LoadBalancer loadBalancer : loadBalancers) {
                    if (loadBalancer.select(LoadBalancers.anyRequest(), nowMs) instanceof SelectedEngine) {
                        sentMs.add(nowMs);
                        loadBalancer.onAttemptEnded(
                                "i-a", LoadBalancers.anyRequest(), AttemptOutcome.ANSWERED, 10, nowMs);
                    }
                }
            }
            for (long windowMs = 0; windowMs < 29_000; windowMs += 50) {
                long fromMs = windowMs;
                long sent = sentMs.stream()
                        .filter(ms -> ms >= fromMs && ms < fromMs + 1000)
                        .count();
                assertTrue(sent <= 20 * 1.5 + 5, nodes + " nodes: " + sent + " requests in the second from " + fromMs);
            }
            assertTrue(sentMs.size() > 150, nodes + " nodes: too few requests to the warming engine: " + sentMs.size());
        }
    }
}
