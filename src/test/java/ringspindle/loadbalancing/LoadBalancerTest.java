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

/** Who may be asked, and that shares summed over nodes keep their bounds in every sliding window. */
class LoadBalancerTest {
    @Test
    void homesDrainsEvacuationsTurnsAndWeightsBind() {
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

    /** A hundred connections for ninety nodes: a node has one to each engine, and goes to another engine while it is in use. */
    @Test
    void anEngineWithoutAFreeConnectionIsPassedOver() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateLease(new Lease(1, 90, 100_000), 0);
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        loadBalancer.updateEngine("i-b", LoadBalancers.engine("b1", 2, 0, false), 1, 0);
        SelectionRequest sharing =
                SelectionRequests.of("s").prompt(4711, 13_000, 100).output(50).build();
        SelectedEngine first = (SelectedEngine) loadBalancer.select(sharing, 10);
        SelectedEngine second = (SelectedEngine) loadBalancer.select(sharing, 10);
        assertEquals(new ConnectionLimit(1, true), first.connectionLimit());
        assertNotEquals(first.id(), second.id());
        assertEquals("none", LoadBalancers.id(loadBalancer.select(sharing, 10)));
        loadBalancer.onAttemptEnded(first.id(), sharing, AttemptOutcome.ANSWERED, 20, 30);
        assertEquals(first.id(), LoadBalancers.id(loadBalancer.select(sharing, 40)));
    }

    @Test
    void moreNodesThanConnectionsKeepNoneIdle() {
        assertEquals(new ConnectionLimit(3, true), ConnectionLimit.shareOf(100, 30));
        assertEquals(new ConnectionLimit(1, false), ConnectionLimit.shareOf(100, 91));
    }

    @Test
    void clientsThatLeaveNeverGetAnEngineEjected() {
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
    void silenceMakesAnEngineSuspectUntilAProbeSaysOtherwise() {
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
    void furtherTriesOfAllNodesStayWithinTheBudget() {
        for (long seed = 1; seed <= 10; seed++) {
            Random random = new Random(seed);
            int nodes = 9;
            List<LoadBalancer> all = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                all.add(LoadBalancers.create("a1", "a"));
            }
            List<Long> tries = new ArrayList<>();
            List<Long> asked = new ArrayList<>();
            for (long nowMs = 0; nowMs < 60_000; nowMs += 20) {
                long at = nowMs;
                if (nowMs % 1000 == 0) {
                    all.forEach(x -> x.updateLease(new Lease(1, nodes, 3000), at));
                }
                LoadBalancer loadBalancer = all.get(random.nextInt(nodes));
                loadBalancer.onRequestReceived("s", nowMs);
                asked.add(nowMs);
                for (int i = 0; i < 2; i++) {
                    if (loadBalancer.tryAcquireRetry("s", nowMs)) {
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
            Random random = new Random(nodes);
            List<LoadBalancer> all = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                all.add(LoadBalancers.create("a1", "a"));
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
                LoadBalancer loadBalancer = all.get(random.nextInt(nodes));
                loadBalancer.onRequestReceived("s", nowMs);
                asked.add(nowMs);
                for (int i = 0; i < 3; i++) {
                    if (loadBalancer.tryAcquireRetry("s", nowMs)) {
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
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateLease(new Lease(1, 9, 3000), 0);
        assertTrue(loadBalancer.tryAcquireRetry("s", 100));
        assertFalse(LoadBalancers.create("a1", "a").tryAcquireRetry("s", 100));
        for (int i = 0; i < 100; i++) {
            assertFalse(loadBalancer.tryAcquireRetry("s", 20_000 + i), "a lease that ran out still grants");
        }
    }

    @Test
    void coldEngineGetsNoMoreThanItBearsInAnySecond() {
        int nodes = 9;
        List<LoadBalancer> all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
            loadBalancer.updateLease(new Lease(1, nodes, 100_000), 0);
            loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 20_000, false), 1, 0);
            all.add(loadBalancer);
        }
        List<Long> sent = new ArrayList<>();
        for (long nowMs = 0; nowMs < 15_000; nowMs += 5) {
            for (LoadBalancer loadBalancer : all) {
                if (loadBalancer.select(LoadBalancers.anyRequest(), nowMs) instanceof SelectedEngine) {
                    sent.add(nowMs);
                    loadBalancer.onAttemptEnded("i-a", LoadBalancers.anyRequest(), AttemptOutcome.ANSWERED, 10, nowMs);
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
            LoadBalancer loadBalancer = LoadBalancers.create(n % 2 == 0 ? "a1" : "b1", n % 2 == 0 ? "a" : "b");
            for (int i = 1; i <= 6; i++) {
                loadBalancer.updateEngine("i-" + i, LoadBalancers.engine(i % 2 == 0 ? "a1" : "b1", i, 0, false), 1, 0);
            }
            where.add(LoadBalancers.id(loadBalancer.select(
                    SelectionRequests.of("s")
                            .prompt(4711, 13_000, 3000)
                            .output(100)
                            .random(n)
                            .build(),
                    10)));
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

    private static Map<String, Integer> choices(LoadBalancer loadBalancer, int n, long nowMs) {
        Map<String, Integer> out = new TreeMap<>();
        Random random = new Random(5);
        for (int i = 0; i < n; i++) {
            SelectionRequest a = SelectionRequests.of("s")
                    .prompt(0, 0, 100)
                    .output(50)
                    .random(random.nextLong())
                    .build();
            String id = LoadBalancers.id(loadBalancer.select(a, nowMs));
            out.merge(id, 1, Integer::sum);
            loadBalancer.onAttemptEnded(id, a, AttemptOutcome.PARENT_ENDED, -1, nowMs);
        }
        return out;
    }

    @Test
    void engineThatFailsPartOfItsRequestsGetsATrickleWhateverItsHealthSays() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        for (int i = 1; i <= 6; i++) {
            loadBalancer.updateEngine("i-" + i, LoadBalancers.engine("a1", i, 0, false), 1, 0);
        }
        int even = choices(loadBalancer, 3000, 10).get("i-1");
        assertTrue(even > 300, "before: " + even);
        Map<String, int[]> seen = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            seen.put("i-" + i, i == 1 ? new int[] {7, 6, 1} : new int[] {13, i == 3 ? 1 : 0, 1});
        }
        loadBalancer.updateRegionLoad(load(seen), 20);
        loadBalancer.onHealthProbeResult("i-1", true, 0, 25);
        int after = choices(loadBalancer, 3000, 30).getOrDefault("i-1", 0);
        assertTrue(after > 0 && after < even / 8, "a trickle, was " + even + " is " + after);
        assertTrue(
                choices(loadBalancer, 3000, 3000).get("i-1") > even / 2, "it recovers once nothing is said against it");
        loadBalancer.updateRegionLoad(load(seen), 3100);
        assertTrue(choices(loadBalancer, 3000, 4900).get("i-1") < even / 8, "the price of coming back rises");
    }

    @Test
    void whatAllEnginesFailIsNoEnginesFault() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        Map<String, int[]> all = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            loadBalancer.updateEngine("i-" + i, LoadBalancers.engine("a1", i, 0, false), 1, 0);
            all.put("i-" + i, new int[] {6, 6, 1});
        }
        loadBalancer.updateRegionLoad(load(all), 20);
        Map<String, Integer> n = choices(loadBalancer, 3000, 30);
        assertEquals(6, n.size());
        n.forEach((id, k) -> assertTrue(k > 300, id + " " + k));
    }

    @Test
    void neverSoManyAreSparedThatTheRestCouldNotCarryTheLoad() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        Map<String, int[]> most = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            loadBalancer.updateEngine("i-" + i, LoadBalancers.engine("a1", i, 0, false), 1, 0);
        }
        // one after the other, each beyond what the others show just then
        for (int i = 1; i <= 4; i++) {
            most.clear();
            for (int j = 1; j <= 6; j++) {
                most.put("i-" + j, new int[] {20, j == i ? 19 : 0, 1});
            }
            loadBalancer.updateRegionLoad(load(most), 20 + i);
        }
        assertTrue(choices(loadBalancer, 3000, 30).get("i-1") > 200, "four of six are poor, so all carry");
    }

    @Test
    void othersLoadCountsWhileItIsFresh() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-1", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        loadBalancer.updateEngine("i-2", LoadBalancers.engine("a1", 2, 0, false), 1, 0);
        loadBalancer.updateRegionLoad(load(Map.of("i-1", new int[] {5, 0, 40}, "i-2", new int[] {5, 0, 2})), 100);
        assertNull(choices(loadBalancer, 200, 200).get("i-1"), "it runs far more for others");
        assertEquals(2, choices(loadBalancer, 200, 9000).size(), "a sum that came long ago counts no more");
    }

    @Test
    void silentEnginesAndRegionsOfWhichNothingIsHeardComeLast() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        loadBalancer.updateEngine("i-b", LoadBalancers.engine("b1", 2, 0, false), 1, 0);
        SelectionRequest digest = SelectionRequests.of("s")
                .prompt(4712, 13_000, 3000)
                .output(100)
                .random(1)
                .build();
        loadBalancer.setHeartbeatMissing("i-a", true, 10);
        assertEquals(Map.of("i-b", 50), choices(loadBalancer, 50, 20));
        loadBalancer.setHeartbeatMissing("i-a", false, 30);
        assertEquals(Map.of("i-a", 50), choices(loadBalancer, 50, 40));
        loadBalancer.updateRegionLoad(load(Map.of(), "a", "b"), 50);
        loadBalancer.updateRegionLoad(load(Map.of(), "a"), 1000);
        assertEquals("i-a", LoadBalancers.id(loadBalancer.select(digest, 1010)), "whoever holds its head");
        assertEquals(
                "i-b",
                LoadBalancers.id(loadBalancer.select(LoadBalancers.request(Set.of("b"), Set.of(), -1), 1020)),
                "homes bind, heard of or not");
        loadBalancer.setHeartbeatMissing("i-b", true, 1030);
        loadBalancer.setHeartbeatMissing("i-a", true, 1030);
        assertNotEquals(
                "none",
                LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 1040)),
                "if all are silent, all may be asked");
    }

    @Test
    void resetOfAForgottenConnectionSaysNothingOfTheEngine() {
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
    void reportHoldsWhatWasSeenLatelyAndWhatRuns() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 0, false), 1, 0);
        SelectionRequest digest = SelectionRequests.of("s")
                .prompt(4712, 13_000, 3000)
                .output(100)
                .random(1)
                .build();
        loadBalancer.select(digest, 100);
        loadBalancer.select(LoadBalancers.anyRequest(), 100);
        loadBalancer.onAttemptEnded("i-a", LoadBalancers.anyRequest(), AttemptOutcome.ANSWERED, 120, 200);
        LoadSummary s = loadBalancer.summarizeLoad(300);
        assertEquals(1, s.counts(EngineKey.of("i-a"), RequestKind.LONG).running());
        assertEquals(1, s.counts(EngineKey.of("i-a"), RequestKind.SHORT).answered());
        assertEquals(
                1, s.counts(EngineKey.of("i-a"), RequestKind.SHORT).latencies().upTo150Ms());
        loadBalancer.onAttemptEnded("i-a", digest, AttemptOutcome.PARENT_ENDED, -1, 400);
        AttemptCounts later = loadBalancer.summarizeLoad(2500).counts(EngineKey.of("i-a"));
        assertTrue(later.isEmpty(), "clients' cancels stay out, what is old goes: " + later);
    }

    /** Turns at a cold engine: whatever the number of nodes, its bound holds in every second and it is not idle. */
    @Test
    void coldEngineKeepsItsBoundHoweverManyNodesThereAre() {
        for (int nodes : new int[] {24, 40, 77, 300}) {
            List<LoadBalancer> all = new ArrayList<>();
            for (int i = 0; i < nodes; i++) {
                LoadBalancer loadBalancer = LoadBalancers.create("n-" + i, "a1", "a");
                loadBalancer.updateLease(new Lease(1, nodes, 100_000), 0);
                loadBalancer.updateEngine("i-a", LoadBalancers.engine("a1", 1, 60_000, false), 1, 0);
                all.add(loadBalancer);
            }
            List<Long> sent = new ArrayList<>();
            for (long nowMs = 0; nowMs < 30_000; nowMs += 10) {
                for (LoadBalancer loadBalancer : all) {
                    if (loadBalancer.select(LoadBalancers.anyRequest(), nowMs) instanceof SelectedEngine) {
                        sent.add(nowMs);
                        loadBalancer.onAttemptEnded(
                                "i-a", LoadBalancers.anyRequest(), AttemptOutcome.ANSWERED, 10, nowMs);
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
}
