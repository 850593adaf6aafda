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

/** Serving rules in selection: they order and restrict the candidates, and never add any. */
class RoutingPreferenceTest {
    private static SelectionRequest request(RoutingPreference preference, long affinityKey) {
        return SelectionRequests.of("s")
                .prompt(affinityKey, 13_000, 3000)
                .output(100)
                .random(7)
                .preference(preference)
                .build();
    }

    private static FallbackTarget target(FallbackTarget.Scope scope, int waitMs) {
        return new FallbackTarget(scope, List.of(), waitMs);
    }

    /** Adds six engines, three of them in region {@code a}; returns their ids by rank for the affinity key 4711. */
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
    void busyPrefixHolderIsAwaitedThenFallbackTargetsApplyInOrder() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        List<String> ranked = sixEngines(loadBalancer);
        List<FallbackTarget> whenBusy =
                List.of(target(FallbackTarget.Scope.NEXT, 100), target(FallbackTarget.Scope.REGION, 200));
        assertEquals(
                ranked.get(0),
                LoadBalancers.id(
                        loadBalancer.select(request(new RoutingPreference(0, 1.5, whenBusy, List.of(), 0), 4711), 10)));
        // far more than its share of tokens is in flight at the prefix holder
        Map<String, int[]> attempts = new HashMap<>();
        ranked.forEach(i -> attempts.put(i, new int[] {1, 0, 1}));
        List<EngineLoad> rows = new ArrayList<>();
        ranked.forEach(i -> rows.add(new EngineLoad(EngineKey.of(i), 1, 0, 1, i.equals(ranked.get(0)) ? 900_000 : 0)));
        loadBalancer.updateRegionLoad(new Load(1, 1, rows, List.of()), 20);
        assertEquals(
                "none",
                LoadBalancers.id(
                        loadBalancer.select(request(new RoutingPreference(0, 1.5, whenBusy, List.of(), 50), 4711), 30)),
                "the wait time of the first target is not over");
        assertEquals(
                ranked.get(1),
                LoadBalancers.id(loadBalancer.select(
                        request(new RoutingPreference(0, 1.5, whenBusy, List.of(), 120), 4711), 40)));
        loadBalancer.setHeartbeatMissing(ranked.get(1), true, 50);
        assertEquals(
                "none",
                LoadBalancers.id(loadBalancer.select(
                        request(new RoutingPreference(0, 1.5, whenBusy, List.of(), 120), 4711), 60)),
                "the next engine by rank is unreachable too");
        String fallbackId = LoadBalancers.id(
                loadBalancer.select(request(new RoutingPreference(0, 1.5, whenBusy, List.of(), 310), 4711), 70));
        assertTrue(Integer.parseInt(fallbackId.substring(2)) % 2 == 0, fallbackId + " is not in the region");
        assertEquals(
                "none",
                LoadBalancers.id(loadBalancer.select(
                        request(
                                new RoutingPreference(
                                        0, 1.5, List.of(target(FallbackTarget.Scope.NEXT, 0)), List.of(), 9000),
                                4711),
                        80)),
                "no targets are left");
    }

    @Test
    void unavailablePrefixHolderUsesItsOwnFallbackTargets() {
        for (String cause : List.of("draining", "evacuated", "silent", "cold", "suspect")) {
            LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
            List<String> ranked = sixEngines(loadBalancer);
            String holder = ranked.get(0);
            boolean inOwnRegion = Integer.parseInt(holder.substring(2)) % 2 == 0;
            switch (cause) {
                case "draining" -> loadBalancer.markDraining(holder, false, 5);
                case "evacuated" -> loadBalancer.setZoneEvacuated(inOwnRegion ? "a1" : "b1", true, 5);
                case "silent" -> loadBalancer.setHeartbeatMissing(holder, true, 5);
                case "cold" ->
                    loadBalancer.updateEngine(
                            holder, LoadBalancers.engine(inOwnRegion ? "a1" : "b1", 9, 9000, false), 2, 5);
                default -> {
                    loadBalancer.select(request(new RoutingPreference(0, 1.5, List.of(), List.of(), 0), 4711), 5);
                    loadBalancer.onAttemptEnded(holder, LoadBalancers.anyRequest(), AttemptOutcome.NOT_SENT, -1, 6);
                }
            }
            RoutingPreference preference = new RoutingPreference(
                    0,
                    1.5,
                    List.of(target(FallbackTarget.Scope.NEXT, 5000)),
                    List.of(new FallbackTarget(FallbackTarget.Scope.REGIONS, List.of("b"), 0)),
                    0);
            String selectedId = LoadBalancers.id(loadBalancer.select(request(preference, 4711), 10));
            if (cause.equals("evacuated") && !inOwnRegion) {
                assertEquals("none", selectedId, cause);
            } else {
                assertTrue(
                        !selectedId.equals(holder) && Integer.parseInt(selectedId.substring(2)) % 2 == 1,
                        cause + ": " + selectedId);
            }
        }
    }

    @Test
    void reservedCapacityStaysFree() {
        LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
        loadBalancer.updateEngine("i-2", LoadBalancers.engine("a1", 2, 0, false), 1, 0);
        RoutingPreference reserving = new RoutingPreference(0.75, 100, List.of(), List.of(), 0);
        int selectedCount = 0;
        while (loadBalancer.select(request(reserving, 4711), 10) instanceof SelectedEngine) {
            selectedCount++;
        }
        assertEquals(16, selectedCount, "a quarter of the capacity of 64");
        assertEquals(
                "i-2",
                LoadBalancers.id(loadBalancer.select(LoadBalancers.anyRequest(), 20)),
                "reserved capacity is free for other classes");
    }

    /** An engine that must not be selected without a rule is not selected with any rule either. */
    @Test
    void rulesNeverAddCandidates() {
        Random random = new Random(3);
        for (int round = 0; round < 400; round++) {
            LoadBalancer loadBalancer = LoadBalancers.create("a1", "a");
            List<String> ranked = sixEngines(loadBalancer);
            Set<String> unavailableIds = new HashSet<>();
            if (random.nextBoolean()) {
                loadBalancer.markDraining(ranked.get(0), false, 1);
                unavailableIds.add(ranked.get(0));
            }
            if (random.nextBoolean()) {
                loadBalancer.setZoneEvacuated("b1", true, 1);
                unavailableIds.addAll(List.of("i-1", "i-3", "i-5"));
            }
            Set<String> allowedRegions = random.nextInt(3) == 0 ? Set.of("b") : Set.of();
            if (!allowedRegions.isEmpty()) {
                unavailableIds.addAll(List.of("i-2", "i-4", "i-6"));
            }
            if (random.nextBoolean()) {
                loadBalancer.setEnginesInRollout("s", Set.of("i-4"), 1);
                unavailableIds.add("i-4");
            }
            List<FallbackTarget> targets = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                FallbackTarget.Scope scope = FallbackTarget.Scope.values()[random.nextInt(5)];
                targets.add(new FallbackTarget(
                        scope,
                        scope == FallbackTarget.Scope.REGIONS ? List.of(random.nextBoolean() ? "a" : "b") : List.of(),
                        0));
            }
            RoutingPreference preference = new RoutingPreference(
                    random.nextInt(2) * 0.5, 1 + random.nextInt(3), targets, targets, random.nextInt(500));
            String selectedId = LoadBalancers.id(loadBalancer.select(
                    SelectionRequests.of("s")
                            .allowedRegions(allowedRegions)
                            .prompt(random.nextInt(2) * 4711L, 13_000, 3000)
                            .output(100)
                            .excluding(Set.of("i-6"))
                            .random(round)
                            .preference(preference)
                            .build(),
                    10));
            assertFalse(
                    unavailableIds.contains(selectedId) || selectedId.equals("i-6"),
                    "round " + round + ": " + selectedId + " is one of " + unavailableIds);
        }
    }
}
