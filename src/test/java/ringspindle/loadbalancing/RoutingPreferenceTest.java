package ringspindle.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ringspindle.loadbalancing.LoadBalancer.RoutingPreference;
import ringspindle.loadbalancing.LoadBalancer.SelectedEngine;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.protocol.Message.EngineLoad;
import ringspindle.protocol.Message.Load;
import ringspindle.retry.AttemptOutcome;
import ringspindle.routing.FallbackTarget;
import ringspindle.telemetry.EngineKey;

/** What a serving rule says of the choice of an engine: it orders and narrows, and never widens. */
class RoutingPreferenceTest {
    private static SelectionRequest request(RoutingPreference preference, long affinity) {
        return SelectionRequests.of("s")
                .prompt(affinity, 13_000, 3000)
                .output(100)
                .random(7)
                .preference(preference)
                .build();
    }

    private static FallbackTarget step(FallbackTarget.Scope to, int waitMs) {
        return new FallbackTarget(to, List.of(), waitMs);
    }

    /** Six engines, three of them here; returns them by rank for the key 4711. */
    private static List<String> sixEngines(LoadBalancer loadBalancer) {
        List<String> ids = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            loadBalancer.updateEngine("i-" + i, LoadBalancers.engine(i % 2 == 0 ? "a1" : "b1", i, 0, false), 1, 0);
            ids.add("i-" + i);
        }
        ids.sort(Comparator.comparingLong(id -> RendezvousHash.rank(EngineKey.of(id), 4711)));
        return ids;
    }

    @Test
    void busyHolderIsWaitedForAndThenItsPlacesAreTriedInOrder() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        List<String> ranked = sixEngines(loadBalancer);
        List<FallbackTarget> busy =
                List.of(step(FallbackTarget.Scope.NEXT, 100), step(FallbackTarget.Scope.REGION, 200));
        assertEquals(
                ranked.get(0),
                LoadBalancers.id(
                        loadBalancer.select(request(new RoutingPreference(0, 1.5, busy, List.of(), 0), 4711), 10)));
        // far more than its share runs there
        Map<String, int[]> seen = new HashMap<>();
        ranked.forEach(i -> seen.put(i, new int[] {1, 0, 1}));
        List<EngineLoad> rows = new ArrayList<>();
        ranked.forEach(i -> rows.add(new EngineLoad(EngineKey.of(i), 1, 0, 1, i.equals(ranked.get(0)) ? 900_000 : 0)));
        loadBalancer.updateRegionLoad(new Load(1, 1, rows, List.of()), 20);
        assertEquals(
                "none",
                LoadBalancers.id(
                        loadBalancer.select(request(new RoutingPreference(0, 1.5, busy, List.of(), 50), 4711), 30)),
                "not yet");
        assertEquals(
                ranked.get(1),
                LoadBalancers.id(
                        loadBalancer.select(request(new RoutingPreference(0, 1.5, busy, List.of(), 120), 4711), 40)));
        loadBalancer.setHeartbeatMissing(ranked.get(1), true, 50);
        assertEquals(
                "none",
                LoadBalancers.id(
                        loadBalancer.select(request(new RoutingPreference(0, 1.5, busy, List.of(), 120), 4711), 60)),
                "the next is not there either");
        String third = LoadBalancers.id(
                loadBalancer.select(request(new RoutingPreference(0, 1.5, busy, List.of(), 310), 4711), 70));
        assertTrue(Integer.parseInt(third.substring(2)) % 2 == 0, third + " is not of the region");
        assertEquals(
                "none",
                LoadBalancers.id(loadBalancer.select(
                        request(
                                new RoutingPreference(
                                        0, 1.5, List.of(step(FallbackTarget.Scope.NEXT, 0)), List.of(), 9000),
                                4711),
                        80)),
                "at the end it is refused");
    }

    @Test
    void goneHolderHasItsOwnPlaces() {
        for (String how : List.of("draining", "evacuated", "silent", "cold", "suspect")) {
            LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
            List<String> ranked = sixEngines(loadBalancer);
            String holder = ranked.get(0);
            boolean here = Integer.parseInt(holder.substring(2)) % 2 == 0;
            switch (how) {
                case "draining" -> loadBalancer.markDraining(holder, false, 5);
                case "evacuated" -> loadBalancer.setZoneEvacuated(here ? "a1" : "b1", true, 5);
                case "silent" -> loadBalancer.setHeartbeatMissing(holder, true, 5);
                case "cold" ->
                    loadBalancer.updateEngine(holder, LoadBalancers.engine(here ? "a1" : "b1", 9, 9000, false), 2, 5);
                default -> {
                    loadBalancer.select(request(new RoutingPreference(0, 1.5, List.of(), List.of(), 0), 4711), 5);
                    loadBalancer.onAttemptEnded(holder, LoadBalancers.anyRequest(), AttemptOutcome.NOT_SENT, -1, 6);
                }
            }
            RoutingPreference preference = new RoutingPreference(
                    0,
                    1.5,
                    List.of(step(FallbackTarget.Scope.NEXT, 5000)),
                    List.of(new FallbackTarget(FallbackTarget.Scope.REGIONS, List.of("b"), 0)),
                    0);
            String got = LoadBalancers.id(loadBalancer.select(request(preference, 4711), 10));
            if (how.equals("evacuated") && !here) {
                assertEquals("none", got, how);
            } else {
                assertTrue(!got.equals(holder) && Integer.parseInt(got.substring(2)) % 2 == 1, how + ": " + got);
            }
        }
    }

    @Test
    void placesKeptForOthersStayFree() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-2", LoadBalancers.engine("a1", 2, 0, false), 1, 0);
        RoutingPreference digests = new RoutingPreference(0.75, 100, List.of(), List.of(), 0);
        int taken = 0;
        while (loadBalancer.select(request(digests, 4711), 10) instanceof SelectedEngine) {
            taken++;
        }
        assertEquals(16, taken, "a quarter of 64 places");
        assertEquals(
                "i-2",
                LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 20)),
                "the others' places are free");
    }

    /** Whatever a rule says: what may not be asked without rules is not asked with them. */
    @Test
    void rulesNarrowAndNeverWiden() {
        Random random = new Random(3);
        for (int round = 0; round < 400; round++) {
            LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
            List<String> ranked = sixEngines(loadBalancer);
            Set<String> out = new HashSet<>();
            if (random.nextBoolean()) {
                loadBalancer.markDraining(ranked.get(0), false, 1);
                out.add(ranked.get(0));
            }
            if (random.nextBoolean()) {
                loadBalancer.setZoneEvacuated("b1", true, 1);
                out.addAll(List.of("i-1", "i-3", "i-5"));
            }
            Set<String> homes = random.nextInt(3) == 0 ? Set.of("b") : Set.of();
            if (!homes.isEmpty()) {
                out.addAll(List.of("i-2", "i-4", "i-6"));
            }
            if (random.nextBoolean()) {
                loadBalancer.setEnginesInRollout("s", Set.of("i-4"), 1);
                out.add("i-4");
            }
            List<FallbackTarget> steps = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                FallbackTarget.Scope to = FallbackTarget.Scope.values()[random.nextInt(5)];
                steps.add(new FallbackTarget(
                        to,
                        to == FallbackTarget.Scope.REGIONS ? List.of(random.nextBoolean() ? "a" : "b") : List.of(),
                        0));
            }
            RoutingPreference preference = new RoutingPreference(
                    random.nextInt(2) * 0.5, 1 + random.nextInt(3), steps, steps, random.nextInt(500));
            String got = LoadBalancers.id(loadBalancer.select(
                    SelectionRequests.of("s")
                            .allowedRegions(homes)
                            .prompt(random.nextInt(2) * 4711L, 13_000, 3000)
                            .output(100)
                            .excluding(Set.of("i-6"))
                            .random(round)
                            .preference(preference)
                            .build(),
                    10));
            assertFalse(out.contains(got) || got.equals("i-6"), "round " + round + ": " + got + " of " + out);
        }
    }
}
