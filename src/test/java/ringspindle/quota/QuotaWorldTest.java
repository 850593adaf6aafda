package ringspindle.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongToIntFunction;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.TenantMessage.QuotaLeave;
import ringspindle.protocol.TenantMessage.QuotaNeed;

/**
 * Histories of one hot tenant over many data nodes and heads that take over from each other: in no five seconds more is admitted
 * than the bound allows, and in calm not much less than the limit is.
 */
class QuotaWorldTest {
    private static final int WINDOW_MS = 5000;
    private static final int NODES = 20;
    private static final int STEP_MS = 10;
    private static final TenantLimit LIMIT = new TenantLimit(66, 66);
    private static final String TENANT = "kaje80";

    /** An answer on its way to a data node. */
    private record Answer(int node, long seq, QuotaLeave leave, long dueMs) {}

    /** A head that another one has followed. */
    private record Deposed(TenantBuckets buckets, long grantsUntilMs) {}

    /** The fleet: data nodes, the head, and the heads before it. */
    private static final class World {
        private final Random random;
        private final List<TenantTokens<Integer>> nodes = new ArrayList<>();
        private final Deque<Answer> network = new ArrayDeque<>();
        private final List<Long> admittedMs = new ArrayList<>();
        private HeadChanges seenByNext = new HeadChanges(false);
        private TenantBuckets head;
        /** Heads that were deposed and go on granting to some nodes until their proof has run out. */
        private final List<Deposed> deposed = new ArrayList<>();

        private long epoch = 1;
        private long nowMs = 1_000_000;

        World(long seed) {
            random = new Random(seed);
            seenByNext.observe(epoch, headOf(epoch), nowMs);
            HeadChanges seenByFirst = new HeadChanges(true);
            seenByFirst.observe(epoch, headOf(epoch), nowMs);
            head = new TenantBuckets(seenByFirst);
            for (int node = 0; node < NODES; node++) {
                nodes.add(new TenantTokens<>(0));
            }
        }

        void run(int forMs, LongToIntFunction requestsPerStep) {
            for (long untilMs = nowMs + forMs; nowMs < untilMs; nowMs += STEP_MS) {
                for (int request = requestsPerStep.applyAsInt(nowMs); request > 0; request--) {
                    int node = random.nextInt(NODES);
                    if (nodes.get(node).take(TENANT, node, nowMs)) {
                        admittedMs.add(nowMs);
                    }
                }
                for (int node = 0; node < NODES; node++) {
                    nodes.get(node).tick(nowMs);
                    ask(node);
                }
                deliver();
            }
        }

        private void ask(int node) {
            TenantTokens<Integer> tokens = nodes.get(node);
            if (!tokens.isAskDue()) {
                return;
            }
            List<QuotaNeed> rows = tokens.ask(nowMs);
            head.lead();
            deposed.removeIf(old -> nowMs >= old.grantsUntilMs());
            // half of the nodes are cut off with heads of before
            int side = node % (2 * Math.max(1, deposed.size()));
            TenantBuckets asked = side < deposed.size() ? deposed.get(side).buckets() : head;
            rows.forEach(row -> network.add(
                    new Answer(node, tokens.seq(), asked.grant(row, LIMIT, nowMs), nowMs + 5 + random.nextInt(60))));
        }

        private void deliver() {
            List<Answer> due =
                    network.stream().filter(answer -> answer.dueMs() <= nowMs).toList();
            network.removeAll(due);
            for (Answer answer : due) {
                nodes.get(answer.node()).granted(answer.seq(), List.of(answer.leave()), nowMs).stream()
                        .filter(told -> told.verdict() == TenantTokens.Verdict.GRANTED)
                        .forEach(told -> admittedMs.add(nowMs));
            }
        }

        /** Another head takes over; the old one, cut off with half of the nodes, grants on until its proof has run out. */
        void takeOver() {
            deposed.add(new Deposed(head, nowMs + HeadChanges.PROOF_MS));
            // every node saw the views so far; the next head is one that never led
            epoch++;
            HeadChanges seen = seenByNext;
            seen.observe(epoch, headOf(epoch), nowMs);
            head = new TenantBuckets(seen);
            seenByNext = new HeadChanges(false);
            seenByNext.observe(epoch, headOf(epoch), nowMs);
        }

        int mostInAWindow() {
            int most = 0;
            int from = 0;
            for (int to = 0; to < admittedMs.size(); to++) {
                while (admittedMs.get(to) - admittedMs.get(from) >= WINDOW_MS) {
                    from++;
                }
                most = Math.max(most, to - from + 1);
            }
            return most;
        }
    }

    private static NodeId headOf(long epoch) {
        return NodeId.of("10.0.0." + epoch + ":7000");
    }

    /** Views that keep their head are no change; a view that was not seen may have been one. */
    @Test
    void onlyChangesOfTheHeadCount() {
        HeadChanges changes = new HeadChanges(true);
        changes.observe(1, headOf(1), 0);
        changes.observe(2, headOf(1), 9000);
        assertEquals(HeadChanges.Predecessors.NONE, changes.tenure().predecessors());
        changes.observe(3, headOf(3), 9500);
        assertEquals(HeadChanges.Predecessors.LONG_AGO, changes.tenure().predecessors());
        changes.observe(4, headOf(4), 12_000);
        assertEquals(HeadChanges.Predecessors.RECENT, changes.tenure().predecessors(), "two changes in one window");
        changes.observe(6, headOf(4), 60_000);
        assertEquals(HeadChanges.Predecessors.RECENT, changes.tenure().predecessors(), "view 5 was not seen");
    }

    /** A process that starts again in the first view may have granted before. */
    @Test
    void onlyAProcessThatFoundsTheFleetHasNobodyBeforeIt() {
        HeadChanges changes = new HeadChanges(false);
        changes.observe(1, headOf(1), 0);
        assertEquals(HeadChanges.Predecessors.RECENT, changes.tenure().predecessors());
        changes = new HeadChanges(true);
        changes.observe(2, headOf(1), 0);
        assertEquals(HeadChanges.Predecessors.RECENT, changes.tenure().predecessors(), "view 1 was not seen");
    }

    /** A fleet that starts: views follow each other as voters join, all led by one, and only then the first request comes. */
    @Test
    void aFleetThatStartsRefusesNobodyWithinItsLimit() {
        HeadChanges changes = new HeadChanges(true);
        for (int view = 1; view <= 5; view++) {
            changes.observe(view, headOf(1), view * 300L);
        }
        TenantBuckets buckets = new TenantBuckets(changes);
        buckets.lead();
        int asked = (int) (LIMIT.burstSize() * 1.1);
        QuotaLeave leave = buckets.grant(new QuotaNeed(TENANT, asked, 0), LIMIT, 20_000);
        assertEquals(asked, leave.granted());
    }

    /** What a head that took over long ago was never asked for has come in all the same. */
    @Test
    void bucketsFillFromTheTakeoverOn() {
        for (HeadChanges changes : List.of(takenOver(20_000), takenOver(1000))) {
            TenantBuckets buckets = new TenantBuckets(changes);
            buckets.lead();
            int asked = (int) (LIMIT.burstSize() * 1.1);
            QuotaLeave leave = buckets.grant(new QuotaNeed(TENANT, asked, 0), LIMIT, 60_000);
            assertEquals(asked, leave.granted());
        }
    }

    /** A head that came at 30 s, so long after the one before. */
    private static HeadChanges takenOver(int afterMs) {
        HeadChanges changes = new HeadChanges(false);
        changes.observe(7, headOf(7), 30_000 - afterMs);
        changes.observe(8, headOf(8), 30_000);
        return changes;
    }

    private static int bound() {
        double within = LIMIT.ratePerS() * WINDOW_MS / 1000 + LIMIT.burstSize();
        return (int) (within * 1.1 + 20);
    }

    @Test
    void aHotTenantStaysWithinTheBoundOverHeadsThatOverlap() {
        for (long seed = 1; seed <= 20; seed++) {
            World world = new World(seed);
            world.run(4000, now -> 1);
            world.run(4000, now -> 10);
            world.takeOver();
            world.run(9000, now -> 10);
            world.takeOver();
            world.run(6000, now -> 10);
            assertTrue(world.mostInAWindow() <= bound(), "seed " + seed + ": " + world.mostInAWindow());
        }
    }

    /** Several heads follow each other within seconds, and each grants on for a while after it was deposed. */
    @Test
    void aHotTenantStaysWithinTheBoundHoweverOftenTheHeadChanges() {
        for (long seed = 1; seed <= 40; seed++) {
            Random random = new Random(seed);
            World world = new World(seed);
            world.run(5000 + random.nextInt(3000), now -> random.nextInt(12));
            for (int change = 0; change < 6; change++) {
                world.takeOver();
                world.run(200 + random.nextInt(4000), now -> 10);
            }
            world.run(9000, now -> 10);
            assertTrue(world.mostInAWindow() <= bound(), "seed " + seed + ": " + world.mostInAWindow());
        }
    }

    /** Heads that all take their change for the only one are seen. */
    @Test
    void headsThatAllOverlapAreSeen() {
        World world = new World(1);
        world.run(6000, now -> 10);
        for (int change = 0; change < 6; change++) {
            world.takeOver();
            world.head = new TenantBuckets(longQuiet(world));
            world.run(HeadChanges.PROOF_MS - STEP_MS, now -> 10);
        }
        world.run(6000, now -> 10);
        assertTrue(world.mostInAWindow() > bound(), "" + world.mostInAWindow());
    }

    private static HeadChanges longQuiet(World world) {
        HeadChanges changes = new HeadChanges(false);
        changes.observe(world.epoch - 1, headOf(world.epoch - 1), world.nowMs - 60_000);
        changes.observe(world.epoch, headOf(world.epoch), world.nowMs);
        return changes;
    }

    /** A head that trusts its new buckets at once, while the old one still grants, is seen. */
    @Test
    void aHeadThatTakesOverWithFullBucketsIsSeen() {
        World world = new World(1);
        world.run(6000, now -> 10);
        world.run(4000, now -> 0);
        world.takeOver();
        HeadChanges trustful = new HeadChanges(true);
        trustful.observe(1, headOf(1), world.nowMs);
        world.head = new TenantBuckets(trustful);
        world.run(6000, now -> 10);
        assertTrue(world.mostInAWindow() > bound(), "" + world.mostInAWindow());
    }

    @Test
    void whatIsWellWithinTheLimitIsAdmitted() {
        World world = new World(3);
        int[] asked = new int[1];
        world.run(10_000, now -> {
            int requests = now % 30 == 0 ? 1 : 0;
            asked[0] += requests;
            return requests;
        });
        world.run(300, now -> 0);
        assertEquals(asked[0], world.admittedMs.size());
    }

    @Test
    void whatIsOverTheLimitIsToldSo() {
        TenantTokens<String> tokens = new TenantTokens<>(0);
        HeadChanges first = new HeadChanges(true);
        first.observe(1, headOf(1), 0);
        TenantBuckets buckets = new TenantBuckets(first);
        buckets.lead();
        TenantLimit small = new TenantLimit(1, 0);
        for (int request = 0; request < 30; request++) {
            tokens.take(TENANT, "r" + request, 0);
        }
        QuotaLeave leave = buckets.grant(tokens.ask(0).get(0), small, 0);
        List<TenantTokens.Told<String>> told = tokens.granted(tokens.seq(), List.of(leave), 20);
        long refused = told.stream()
                .filter(each -> each.verdict() == TenantTokens.Verdict.OVER_QUOTA)
                .count();
        assertEquals(30, told.size());
        assertEquals(15, refused);
        assertTrue(leave.waitMs() > 500, "" + leave.waitMs());
    }

    @Test
    void withoutAnAnswerARequestIsToldThatNobodyKnows() {
        TenantTokens<String> tokens = new TenantTokens<>(0);
        tokens.take(TENANT, "r", 0);
        tokens.ask(0);
        assertEquals(List.of(), tokens.tick(650));
        assertTrue(tokens.isAskDue(), "the next is asked");
        assertEquals(TenantTokens.Verdict.UNKNOWN, tokens.tick(750).get(0).verdict());
    }

    /** Guards against a flood of a tenant that was just removed: one that the configuration does not have passed for unlimited. */
    @Test
    void aTenantThatTheConfigurationDoesNotHaveIsGrantedNothing() {
        HeadChanges first = new HeadChanges(true);
        first.observe(1, headOf(1), 0);
        TenantBuckets buckets = new TenantBuckets(first);
        buckets.lead();
        TenantLimits limits = new TenantLimits();
        QuotaNeed need = new QuotaNeed(TENANT, 30, 0);
        limits.update(Map.of(TENANT, Optional.empty()));
        assertEquals(30, limits.grant(need, buckets, 0).granted(), "it has no limit");
        limits.update(Map.of(TENANT, Optional.of(new TenantLimit(1, 0))));
        assertEquals(15, limits.grant(need, buckets, 0).granted());
        limits.update(Map.of());
        assertEquals(0, limits.grant(need, buckets, 0).granted());
    }

    /** Guards against a data node that asks again with each answer, for as long as it holds the configuration before. */
    @Test
    void aRequestOfATenantThatTheConfigurationDoesNotHaveIsRefusedAndNothingIsAskedAgain() {
        TenantTokens<String> tokens = new TenantTokens<>(0);
        tokens.take(TENANT, "r", 0);
        QuotaLeave leave = new TenantLimits().grant(tokens.ask(0).get(0), new TenantBuckets(new HeadChanges(true)), 10);
        List<TenantTokens.Told<String>> told = tokens.granted(tokens.seq(), List.of(leave), 20);
        assertFalse(tokens.isAskDue());
        assertEquals(TenantTokens.Verdict.OVER_QUOTA, told.get(0).verdict());
    }
}
