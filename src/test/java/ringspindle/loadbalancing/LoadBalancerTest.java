package ringspindle.loadbalancing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
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
import ringspindle.telemetry.LoadSummary;
import ringspindle.telemetry.RequestKind;

/** Who may be asked, and that shares summed over nodes keep their bounds in every sliding window. */
class LoadBalancerTest {
    private static LoadBalancer picker(String zone, String region) {
        return picker("n", zone, region);
    }

    private static LoadBalancer picker(String name, String zone, String region) {
        Properties p = new Properties();
        p.putAll(Map.of(
                "node.name",
                name,
                "node.ip",
                "10.0.0.1",
                "node.zone",
                zone,
                "node.region",
                region,
                "listen.inner",
                "7000",
                "seeds",
                "10.0.0.9:80",
                "zone.a1",
                "a",
                "zone.b1",
                "b",
                "bound.retryRatio",
                "0.2"));
        p.putAll(Map.of(
                "bound.retrySlack",
                "50",
                "bound.retryWindowS",
                "10",
                "bound.warmupOverrun",
                "1.5",
                "bound.warmupSlack",
                "5"));
        LoadBalancer out = LoadBalancer.create(((Validated.Valid<NodeConfig>) NodeConfig.check(p)).value());
        String json =
                "{\"revision\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"maxConnections\":100,\"warmupS\":3,\"warmupPerS\":20}]}";
        out.updateConfiguration(((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value());
        return out;
    }

    private static Engine engine(String zone, int n, int coldMs, boolean draining) {
        return new Engine(64, coldMs, draining, -1, 1, "s", "10.1.0." + n + ":80", zone, "v");
    }

    private static SelectionRequest ask(Set<String> homes, Set<String> tried, long weights) {
        return SelectionRequests.of("s", homes, 0, 0, 100, 50, tried, weights, 5);
    }

    private static SelectionRequest any() {
        return ask(Set.of(), Set.of(), -1);
    }

    private static String id(Selection c) {
        return c instanceof SelectedEngine x ? x.id() : "none";
    }

    @Test
    void homesDrainsEvacuationsTurnsAndWeightsBind() {
        LoadBalancer p = picker("a1", "a");
        p.updateLease(new Lease(1, 1, 100_000), 0);
        p.updateEngine("i-a", engine("a1", 1, 0, false), 1, 0);
        p.updateEngine("i-b", engine("b1", 2, 0, false), 1, 0);
        assertEquals("i-a", id(p.select(any(), 10)));
        assertEquals("i-b", id(p.select(ask(Set.of("b"), Set.of(), -1), 10)));
        assertEquals("i-b", id(p.select(ask(Set.of(), Set.of("i-a"), -1), 10)));
        assertEquals("none", id(p.select(ask(Set.of(), Set.of(), 2), 10)));
        p.setRolloutTurn("s", Set.of("i-a"), 20);
        assertEquals("i-b", id(p.select(any(), 30)));
        p.setZoneEvacuated("b1", true, 40);
        assertEquals("none", id(p.select(any(), 50)));
        p.setRolloutTurn("s", Set.of(), 60);
        assertEquals("i-a", id(p.select(any(), 2000)));
        p.updateEngine("i-a", engine("a1", 1, 0, true), 2, 2100);
        assertEquals("none", id(p.select(any(), 2200)));
        p.setZoneEvacuated("b1", false, 2300);
        p.markDraining("i-b", false, 2400);
        assertEquals("none", id(p.select(any(), 9000)));
    }

    @Test
    void clientsThatLeaveNeverGetAnEngineEjected() {
        LoadBalancer p = picker("a1", "a");
        p.updateEngine("i-a", engine("a1", 1, 0, false), 1, 0);
        for (int i = 0; i < 50; i++) {
            assertEquals("i-a", id(p.select(any(), 100 + i)));
            p.onRequestSent("i-a", 100 + i);
            p.onAttemptEnded("i-a", any(), AttemptOutcome.PARENT_ENDED, -1, 101 + i);
        }
        assertEquals(List.of(), p.dueHealthProbes(500));
    }

    @Test
    void silenceMakesAnEngineSuspectUntilAProbeSaysOtherwise() {
        LoadBalancer p = picker("a1", "a");
        p.updateEngine("i-a", engine("a1", 1, 0, false), 1, 0);
        p.select(any(), 0);
        p.onRequestSent("i-a", 0);
        assertEquals(List.of(), p.dueHealthProbes(500));
        assertEquals(1, p.dueHealthProbes(2500).size());
        assertEquals("none", id(p.select(any(), 2600)));
        p.onHealthProbeResult("i-a", true, 0, 2700);
        assertEquals("i-a", id(p.select(any(), 2800)));
    }

    @Test
    void furtherTriesOfAllNodesStayWithinTheBudget() {
        for (long seed = 1; seed <= 10; seed++) {
            Random luck = new Random(seed);
            int nodes = 9;
            List<LoadBalancer> all = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                all.add(picker("a1", "a"));
            }
            List<Long> tries = new ArrayList<>();
            List<Long> asked = new ArrayList<>();
            for (long nowMs = 0; nowMs < 60_000; nowMs += 20) {
                long at = nowMs;
                if (nowMs % 1000 == 0) {
                    all.forEach(x -> x.updateLease(new Lease(1, nodes, 3000), at));
                }
                LoadBalancer p = all.get(luck.nextInt(nodes));
                p.onRequestReceived("s", nowMs);
                asked.add(nowMs);
                for (int i = 0; i < 2; i++) {
                    if (p.tryAcquireRetry("s", nowMs)) {
                        tries.add(nowMs);
                    }
                }
            }
            for (long from = 0; from < 50_000; from += 500) {
                long f = from;
                long t = tries.stream().filter(x -> x >= f && x < f + 10_000).count();
                long a = asked.stream().filter(x -> x >= f && x < f + 10_000).count();
                assertTrue(
                        t <= 0.2 * a + 50, "seed " + seed + ": " + t + " tries on " + a + " in the window from " + f);
            }
            assertTrue(tries.size() > 50, "the budget is hardly used: " + tries.size());
        }
    }

    /** As above for fleets of 80 and 300 nodes, while the holder of the duty changes and leases run out now and then. */
    @Test
    void manyNodesKeepTheBudgetWhileLeasesComeAndGo() {
        for (int nodes : new int[] {80, 300}) {
            Random luck = new Random(nodes);
            List<LoadBalancer> all = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                all.add(picker("a1", "a"));
            }
            List<Long> tries = new ArrayList<>();
            List<Long> asked = new ArrayList<>();
            for (long nowMs = 0; nowMs < 40_000; nowMs += 4) {
                long at = nowMs;
                // another holder waits until what the first granted has run out
                boolean held = nowMs % 20_000 < 12_000 || nowMs % 20_000 > 15_500;
                if (nowMs % 1000 == 0 && held) {
                    all.forEach(x -> x.updateLease(new Lease(1 + at / 20_000, nodes, 3000), at));
                }
                LoadBalancer p = all.get(luck.nextInt(nodes));
                p.onRequestReceived("s", nowMs);
                asked.add(nowMs);
                for (int i = 0; i < 3; i++) {
                    if (p.tryAcquireRetry("s", nowMs)) {
                        tries.add(nowMs);
                    }
                }
            }
            for (long from = 0; from < 30_000; from += 500) {
                long f = from;
                long t = tries.stream().filter(x -> x >= f && x < f + 10_000).count();
                long a = asked.stream().filter(x -> x >= f && x < f + 10_000).count();
                assertTrue(t <= 0.2 * a + 50, nodes + " nodes: " + t + " tries on " + a + " in the window from " + f);
            }
            assertTrue(tries.size() > 200, nodes + " nodes hardly use the budget: " + tries.size());
        }
    }

    @Test
    void withoutALeaseOnlyWhatOwnRequestsEarn() {
        LoadBalancer p = picker("a1", "a");
        p.updateLease(new Lease(1, 9, 3000), 0);
        assertTrue(p.tryAcquireRetry("s", 100));
        assertFalse(picker("a1", "a").tryAcquireRetry("s", 100));
        for (int i = 0; i < 100; i++) {
            assertFalse(p.tryAcquireRetry("s", 20_000 + i), "a lease that ran out still grants");
        }
    }

    @Test
    void coldEngineGetsNoMoreThanItBearsInAnySecond() {
        int nodes = 9;
        List<LoadBalancer> all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            LoadBalancer p = picker("a1", "a");
            p.updateLease(new Lease(1, nodes, 100_000), 0);
            p.updateEngine("i-a", engine("a1", 1, 20_000, false), 1, 0);
            all.add(p);
        }
        List<Long> sent = new ArrayList<>();
        for (long nowMs = 0; nowMs < 15_000; nowMs += 5) {
            for (LoadBalancer p : all) {
                if (p.select(any(), nowMs) instanceof SelectedEngine) {
                    sent.add(nowMs);
                    p.onAttemptEnded("i-a", any(), AttemptOutcome.ANSWERED, 10, nowMs);
                }
            }
        }
        for (long from = 0; from < 14_000; from += 50) {
            long f = from;
            long n = sent.stream().filter(x -> x >= f && x < f + 1000).count();
            assertTrue(n <= 20 * 1.5 + 5, n + " in the second from " + f);
        }
        assertTrue(sent.size() > 100, "a cold engine gets hardly anything: " + sent.size());
    }

    @Test
    void oneHeadOfPromptsLivesAtOneEngineForAllNodes() {
        Set<String> where = new HashSet<>();
        for (int n = 0; n < 6; n++) {
            LoadBalancer p = picker(n % 2 == 0 ? "a1" : "b1", n % 2 == 0 ? "a" : "b");
            for (int i = 1; i <= 6; i++) {
                p.updateEngine("i-" + i, engine(i % 2 == 0 ? "a1" : "b1", i, 0, false), 1, 0);
            }
            where.add(id(p.select(SelectionRequests.of("s", Set.of(), 4711, 13_000, 3000, 100, Set.of(), -1, n), 10)));
        }
        assertEquals(1, where.size(), where.toString());
    }

    private static Load load(Map<String, int[]> byEngine, String... regions) {
        List<EngineLoad> rows = new ArrayList<>();
        byEngine.forEach((id, n) -> rows.add(new EngineLoad(EngineKey.of(id), n[0], n[1], n[2], 0)));
        List<RegionLoad> there = new ArrayList<>();
        for (String r : regions) {
            there.add(new RegionLoad(r, "s", 3, 90, 6, 10, 0));
        }
        return new Load(1, 1, rows, there);
    }

    private static Map<String, Integer> choices(LoadBalancer p, int n, long nowMs) {
        Map<String, Integer> out = new TreeMap<>();
        Random luck = new Random(5);
        for (int i = 0; i < n; i++) {
            SelectionRequest a = SelectionRequests.of("s", Set.of(), 0, 0, 100, 50, Set.of(), -1, luck.nextLong());
            String id = id(p.select(a, nowMs));
            out.merge(id, 1, Integer::sum);
            p.onAttemptEnded(id, a, AttemptOutcome.PARENT_ENDED, -1, nowMs);
        }
        return out;
    }

    @Test
    void engineThatFailsPartOfItsRequestsGetsATrickleWhateverItsHealthSays() {
        LoadBalancer p = picker("a1", "a");
        for (int i = 1; i <= 6; i++) {
            p.updateEngine("i-" + i, engine("a1", i, 0, false), 1, 0);
        }
        int even = choices(p, 3000, 10).get("i-1");
        assertTrue(even > 300, "before: " + even);
        Map<String, int[]> seen = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            seen.put("i-" + i, i == 1 ? new int[] {7, 6, 1} : new int[] {13, i == 3 ? 1 : 0, 1});
        }
        p.updateRegionLoad(load(seen), 20);
        p.onHealthProbeResult("i-1", true, 0, 25);
        int after = choices(p, 3000, 30).getOrDefault("i-1", 0);
        assertTrue(after > 0 && after < even / 8, "a trickle, was " + even + " is " + after);
        assertTrue(choices(p, 3000, 3000).get("i-1") > even / 2, "it recovers once nothing is said against it");
        p.updateRegionLoad(load(seen), 3100);
        assertTrue(choices(p, 3000, 4900).get("i-1") < even / 8, "the price of coming back rises");
    }

    @Test
    void whatAllEnginesFailIsNoEnginesFault() {
        LoadBalancer p = picker("a1", "a");
        Map<String, int[]> all = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            p.updateEngine("i-" + i, engine("a1", i, 0, false), 1, 0);
            all.put("i-" + i, new int[] {6, 6, 1});
        }
        p.updateRegionLoad(load(all), 20);
        Map<String, Integer> n = choices(p, 3000, 30);
        assertEquals(6, n.size());
        n.forEach((id, k) -> assertTrue(k > 300, id + " " + k));
    }

    @Test
    void neverSoManyAreSparedThatTheRestCouldNotCarryTheLoad() {
        LoadBalancer p = picker("a1", "a");
        Map<String, int[]> most = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            p.updateEngine("i-" + i, engine("a1", i, 0, false), 1, 0);
        }
        // one after the other, each beyond what the others show just then
        for (int i = 1; i <= 4; i++) {
            most.clear();
            for (int j = 1; j <= 6; j++) {
                most.put("i-" + j, new int[] {20, j == i ? 19 : 0, 1});
            }
            p.updateRegionLoad(load(most), 20 + i);
        }
        assertTrue(choices(p, 3000, 30).get("i-1") > 200, "four of six are poor, so all carry");
    }

    @Test
    void othersLoadCountsWhileItIsFresh() {
        LoadBalancer p = picker("a1", "a");
        p.updateEngine("i-1", engine("a1", 1, 0, false), 1, 0);
        p.updateEngine("i-2", engine("a1", 2, 0, false), 1, 0);
        p.updateRegionLoad(load(Map.of("i-1", new int[] {5, 0, 40}, "i-2", new int[] {5, 0, 2})), 100);
        assertNull(choices(p, 200, 200).get("i-1"), "it runs far more for others");
        assertEquals(2, choices(p, 200, 9000).size(), "a sum that came long ago counts no more");
    }

    @Test
    void silentEnginesAndRegionsOfWhichNothingIsHeardComeLast() {
        LoadBalancer p = picker("a1", "a");
        p.updateEngine("i-a", engine("a1", 1, 0, false), 1, 0);
        p.updateEngine("i-b", engine("b1", 2, 0, false), 1, 0);
        SelectionRequest digest = SelectionRequests.of("s", Set.of(), 4712, 13_000, 3000, 100, Set.of(), -1, 1);
        p.setHeartbeatMissing("i-a", true, 10);
        assertEquals(Map.of("i-b", 50), choices(p, 50, 20));
        p.setHeartbeatMissing("i-a", false, 30);
        assertEquals(Map.of("i-a", 50), choices(p, 50, 40));
        p.updateRegionLoad(load(Map.of(), "a", "b"), 50);
        p.updateRegionLoad(load(Map.of(), "a"), 1000);
        assertEquals("i-a", id(p.select(digest, 1010)), "whoever holds its head");
        assertEquals("i-b", id(p.select(ask(Set.of("b"), Set.of(), -1), 1020)), "homes bind, heard of or not");
        p.setHeartbeatMissing("i-b", true, 1030);
        p.setHeartbeatMissing("i-a", true, 1030);
        assertNotEquals("none", id(p.select(any(), 1040)), "if all are silent, all may be asked");
    }

    @Test
    void resetOfAForgottenConnectionSaysNothingOfTheEngine() {
        LoadBalancer p = picker("a1", "a");
        p.updateEngine("i-a", engine("a1", 1, 0, false), 1, 0);
        for (int i = 0; i < 6; i++) {
            p.select(any(), 100 + i);
            p.onAttemptEnded("i-a", any(), AttemptOutcome.BROKEN, LoadBalancer.STALE_MS, 101 + i);
        }
        assertEquals(List.of(), p.dueHealthProbes(200));
        assertEquals(0, p.summarizeLoad(200).counts(EngineKey.of("i-a")).failed());
        for (int i = 0; i < 6; i++) {
            p.select(any(), 300 + i);
            p.onAttemptEnded("i-a", any(), AttemptOutcome.BROKEN, -1, 301 + i);
        }
        assertEquals(6, p.summarizeLoad(400).counts(EngineKey.of("i-a")).failed());
        assertEquals(1, p.dueHealthProbes(400).size());
    }

    @Test
    void reportHoldsWhatWasSeenLatelyAndWhatRuns() {
        LoadBalancer p = picker("a1", "a");
        p.updateEngine("i-a", engine("a1", 1, 0, false), 1, 0);
        SelectionRequest digest = SelectionRequests.of("s", Set.of(), 4712, 13_000, 3000, 100, Set.of(), -1, 1);
        p.select(digest, 100);
        p.select(any(), 100);
        p.onAttemptEnded("i-a", any(), AttemptOutcome.ANSWERED, 120, 200);
        LoadSummary s = p.summarizeLoad(300);
        assertEquals(1, s.counts(EngineKey.of("i-a"), RequestKind.LONG).running());
        assertEquals(1, s.counts(EngineKey.of("i-a"), RequestKind.SHORT).answered());
        assertEquals(
                1, s.counts(EngineKey.of("i-a"), RequestKind.SHORT).latencies().upTo150Ms());
        p.onAttemptEnded("i-a", digest, AttemptOutcome.PARENT_ENDED, -1, 400);
        AttemptCounts later = p.summarizeLoad(2500).counts(EngineKey.of("i-a"));
        assertTrue(later.isEmpty(), "clients' cancels stay out, what is old goes: " + later);
    }

    /** Turns at a cold engine: whatever the number of nodes, its bound holds in every second and it is not idle. */
    @Test
    void coldEngineKeepsItsBoundHoweverManyNodesThereAre() {
        for (int nodes : new int[] {24, 40, 77, 300}) {
            List<LoadBalancer> all = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                LoadBalancer p = picker("n-" + i, "a1", "a");
                p.updateLease(new Lease(1, nodes, 100_000), 0);
                p.updateEngine("i-a", engine("a1", 1, 60_000, false), 1, 0);
                all.add(p);
            }
            List<Long> sent = new ArrayList<>();
            for (long nowMs = 0; nowMs < 30_000; nowMs += 10) {
                for (LoadBalancer p : all) {
                    if (p.select(any(), nowMs) instanceof SelectedEngine) {
                        sent.add(nowMs);
                        p.onAttemptEnded("i-a", any(), AttemptOutcome.ANSWERED, 10, nowMs);
                    }
                }
            }
            for (long from = 0; from < 29_000; from += 50) {
                long f = from;
                long n = sent.stream().filter(x -> x >= f && x < f + 1000).count();
                assertTrue(n <= 20 * 1.5 + 5, nodes + " nodes: " + n + " in the second from " + f);
            }
            assertTrue(sent.size() > 150, nodes + " nodes: a cold engine gets hardly anything: " + sent.size());
        }
    }

    private static SelectionRequest steered(RoutingPreference steer, long affinity) {
        return SelectionRequests.of("s", Set.of(), affinity, 13_000, 3000, 100, Set.of(), -1, 7, steer);
    }

    private static FallbackTarget step(FallbackTarget.Scope to, int waitMs) {
        return new FallbackTarget(to, List.of(), waitMs);
    }

    /** Six engines, three of them here; returns them by rank for the key 4711. */
    private static List<String> six(LoadBalancer p) {
        List<String> ids = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            p.updateEngine("i-" + i, engine(i % 2 == 0 ? "a1" : "b1", i, 0, false), 1, 0);
            ids.add("i-" + i);
        }
        ids.sort(Comparator.comparingLong(id -> RendezvousHash.rank(EngineKey.of(id), 4711)));
        return ids;
    }

    @Test
    void busyHolderIsWaitedForAndThenItsPlacesAreTriedInOrder() {
        LoadBalancer p = picker("a1", "a");
        List<String> ranked = six(p);
        List<FallbackTarget> busy =
                List.of(step(FallbackTarget.Scope.NEXT, 100), step(FallbackTarget.Scope.REGION, 200));
        assertEquals(ranked.get(0), id(p.select(steered(new RoutingPreference(0, 1.5, busy, List.of(), 0), 4711), 10)));
        // far more than its share runs there
        Map<String, int[]> seen = new HashMap<>();
        ranked.forEach(i -> seen.put(i, new int[] {1, 0, 1}));
        List<EngineLoad> rows = new ArrayList<>();
        ranked.forEach(i -> rows.add(new EngineLoad(EngineKey.of(i), 1, 0, 1, i.equals(ranked.get(0)) ? 900_000 : 0)));
        p.updateRegionLoad(new Load(1, 1, rows, List.of()), 20);
        assertEquals(
                "none", id(p.select(steered(new RoutingPreference(0, 1.5, busy, List.of(), 50), 4711), 30)), "not yet");
        assertEquals(
                ranked.get(1), id(p.select(steered(new RoutingPreference(0, 1.5, busy, List.of(), 120), 4711), 40)));
        p.setHeartbeatMissing(ranked.get(1), true, 50);
        assertEquals(
                "none",
                id(p.select(steered(new RoutingPreference(0, 1.5, busy, List.of(), 120), 4711), 60)),
                "the next is not there either");
        String third = id(p.select(steered(new RoutingPreference(0, 1.5, busy, List.of(), 310), 4711), 70));
        assertTrue(Integer.parseInt(third.substring(2)) % 2 == 0, third + " is not of the region");
        assertEquals(
                "none",
                id(p.select(
                        steered(
                                new RoutingPreference(
                                        0, 1.5, List.of(step(FallbackTarget.Scope.NEXT, 0)), List.of(), 9000),
                                4711),
                        80)),
                "at the end it is refused");
    }

    @Test
    void goneHolderHasItsOwnPlaces() {
        for (String how : List.of("draining", "evacuated", "silent", "cold", "suspect")) {
            LoadBalancer p = picker("a1", "a");
            List<String> ranked = six(p);
            String holder = ranked.get(0);
            boolean here = Integer.parseInt(holder.substring(2)) % 2 == 0;
            switch (how) {
                case "draining" -> p.markDraining(holder, false, 5);
                case "evacuated" -> p.setZoneEvacuated(here ? "a1" : "b1", true, 5);
                case "silent" -> p.setHeartbeatMissing(holder, true, 5);
                case "cold" -> p.updateEngine(holder, engine(here ? "a1" : "b1", 9, 9000, false), 2, 5);
                default -> {
                    p.select(steered(new RoutingPreference(0, 1.5, List.of(), List.of(), 0), 4711), 5);
                    p.onAttemptEnded(holder, any(), AttemptOutcome.NOT_SENT, -1, 6);
                }
            }
            RoutingPreference steer = new RoutingPreference(
                    0,
                    1.5,
                    List.of(step(FallbackTarget.Scope.NEXT, 5000)),
                    List.of(new FallbackTarget(FallbackTarget.Scope.REGIONS, List.of("b"), 0)),
                    0);
            String got = id(p.select(steered(steer, 4711), 10));
            if (how.equals("evacuated") && !here) {
                assertEquals("none", got, how);
            } else {
                assertTrue(!got.equals(holder) && Integer.parseInt(got.substring(2)) % 2 == 1, how + ": " + got);
            }
        }
    }

    @Test
    void placesKeptForOthersStayFree() {
        LoadBalancer p = picker("a1", "a");
        p.updateEngine("i-2", engine("a1", 2, 0, false), 1, 0);
        RoutingPreference digests = new RoutingPreference(0.75, 100, List.of(), List.of(), 0);
        int taken = 0;
        while (p.select(steered(digests, 4711), 10) instanceof SelectedEngine) {
            taken++;
        }
        assertEquals(16, taken, "a quarter of 64 places");
        assertEquals("i-2", id(p.select(any(), 20)), "the others' places are free");
    }

    /** Whatever a rule says: what may not be asked without rules is not asked with them. */
    @Test
    void rulesNarrowAndNeverWiden() {
        Random luck = new Random(3);
        for (int round = 0; round < 400; round++) {
            LoadBalancer p = picker("a1", "a");
            List<String> ranked = six(p);
            Set<String> out = new HashSet<>();
            if (luck.nextBoolean()) {
                p.markDraining(ranked.get(0), false, 1);
                out.add(ranked.get(0));
            }
            if (luck.nextBoolean()) {
                p.setZoneEvacuated("b1", true, 1);
                out.addAll(List.of("i-1", "i-3", "i-5"));
            }
            Set<String> homes = luck.nextInt(3) == 0 ? Set.of("b") : Set.of();
            if (!homes.isEmpty()) {
                out.addAll(List.of("i-2", "i-4", "i-6"));
            }
            if (luck.nextBoolean()) {
                p.setRolloutTurn("s", Set.of("i-4"), 1);
                out.add("i-4");
            }
            List<FallbackTarget> steps = new ArrayList<>();
            for (int i = luck.nextInt(4); i > 0; i--) {
                FallbackTarget.Scope to = FallbackTarget.Scope.values()[luck.nextInt(5)];
                steps.add(new FallbackTarget(
                        to,
                        to == FallbackTarget.Scope.REGIONS ? List.of(luck.nextBoolean() ? "a" : "b") : List.of(),
                        0));
            }
            RoutingPreference steer =
                    new RoutingPreference(luck.nextInt(2) * 0.5, 1 + luck.nextInt(3), steps, steps, luck.nextInt(500));
            String got = id(p.select(
                    SelectionRequests.of(
                            "s", homes, luck.nextInt(2) * 4711L, 13_000, 3000, 100, Set.of("i-6"), -1, round, steer),
                    10));
            assertFalse(out.contains(got) || got.equals("i-6"), "round " + round + ": " + got + " of " + out);
        }
    }
}
