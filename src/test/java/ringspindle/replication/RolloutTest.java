package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import ringspindle.api.Outcome;
import ringspindle.protocol.Message.State;
import ringspindle.rollout.RolloutPlanner;

/** Roll-outs under load with crashes, a lost duty holder and a burst: once, whole, one checkpoint an answer. */
class RolloutTest {
    @Test
    void everyAnswerComesOnceWholeAndOfOneCheckpoint() {
        for (long seed = 1; seed <= 12; seed++) {
            RolloutSimulation sim = new RolloutSimulation(seed, 0.5, false);
            sim.run(60_000);
            assertEquals(List.of(), sim.problems(), "seed " + seed);
            assertEquals(
                    Rollout.Status.DONE, sim.rollout().status(), "seed " + seed + " " + sim.rollout() + sim.orders);
            sim.engines.values().forEach(e -> assertEquals(2, e.weights, e.id));
            long whole = sim.history.stream().filter(a -> a.whole).count();
            assertTrue(
                    whole > sim.history.size() * 0.95,
                    "seed " + seed + ": whole " + whole + " of " + sim.history.size());
            Set<Long> seen = new TreeSet<>();
            sim.history.forEach(a -> seen.addAll(a.weights));
            assertEquals(Set.of(1L, 2L), seen);
        }
    }

    @Test
    void swapThatDoesNotComePausesAndTheOperatorMayAbort() {
        RolloutSimulation sim = new RolloutSimulation(3, 0.5, true);
        sim.run(20_000);
        assertEquals(List.of(), sim.problems());
        assertEquals(Rollout.Status.PAUSED, sim.rollout().status());
        assertEquals(RolloutPlanner.Cause.SWAP_OVERDUE.name(), sim.rollout().cause());
        assertEquals(Outcome.TAKEN, sim.order("{\"order\":\"resume\"}"));
        assertEquals(Rollout.Status.RUNNING, sim.rollout().status());
        assertEquals(Outcome.TAKEN, sim.order("{\"order\":\"back\"}"));
        assertEquals(1, sim.rollout().targetWeights());
        assertEquals(Outcome.TAKEN, sim.order("{\"order\":\"abort\"}"));
        assertEquals(List.of(), sim.rollout().swapping());
        assertEquals(Outcome.CLASH, sim.order("{\"order\":\"resume\"}"));
    }

    @Test
    void badOrdersAreRefusedWithTheirProblem() {
        RolloutSimulation sim = new RolloutSimulation(1, 0.5, false);
        String start = "{\"order\":\"start\",\"target\":2,\"from\":1,\"atOnce\":2,\"floor\":0.5,\"patienceS\":8}";
        for (String bad : List.of(
                "{",
                "{}",
                "{\"order\":\"start\"}",
                "{\"order\":\"start\",\"target\":\"x\"}",
                "{\"order\":7}",
                "{\"order\":\"start\",\"target\":2,\"atOnce\":0}",
                "{\"order\":\"start\",\"target\":2,\"floor\":1}",
                "{\"order\":\"start\",\"target\":2,\"patienceS\":0}",
                "{\"order\":\"dance\"}")) {
            assertTrue(Set.of(Outcome.INVALID, Outcome.NO_SUCH).contains(sim.order(bad)), bad);
        }
        assertEquals(Outcome.NO_SUCH, sim.order("{\"order\":\"abort\"}"));
        assertEquals(Outcome.TAKEN, sim.order(start));
        assertEquals(Outcome.TAKEN, sim.order(start), "sent again it is the same order");
        assertEquals(
                Outcome.CLASH,
                sim.order(start.replace("\"target\":2", "\"target\":3")),
                "a second one of the same service");
        assertEquals(Outcome.CLASH, sim.order("{\"order\":\"turn\",\"id\":\"i-1\",\"epoch\":0}"), "a stale holder");
        Decision unknown = new CommandDecider()
                .decide(
                        new State(1, 1, 0, List.of(), List.of(), new byte[0]),
                        CallKind.ROLLOUT.call(1, 0, "other", start.getBytes(UTF_8)));
        assertEquals(Outcome.INVALID, ((Decision.Answer) unknown).outcome());
    }

    @Test
    void textInTheControlStateStaysAsItWas() {
        Rollout rollout =
                new Rollout("s", 2, 1, 2, 0.5, 8, Rollout.Status.PAUSED, "c", 3, List.of("i-1", "i-2"), List.of("i-3"));
        String text = "{\"service\":\"s\",\"target\":2,\"from\":1,\"atOnce\":2,\"floor\":0.5,\"patienceS\":8,"
                + "\"state\":\"PAUSED\",\"cause\":\"c\",\"epoch\":3,\"turn\":[\"i-1\",\"i-2\"],\"swapped\":[\"i-3\"]}";
        assertEquals(text, rollout.write());
        assertEquals(rollout, Rollout.read(text));
    }

    @Test
    void floorThatCannotBeKeptIsSeen() {
        List<RolloutPlanner.Member> members = List.of(
                new RolloutPlanner.Member("i-1", "a", 1, false, false),
                new RolloutPlanner.Member("i-2", "a", 1, false, false),
                new RolloutPlanner.Member("i-3", "b", 1, false, false));
        assertFalse(RolloutPlanner.feasible(0.5, members), "the only engine of b can never go");
        assertTrue(RolloutPlanner.feasible(0, members));
    }

    @Test
    void wrongCheckpointPauses() {
        Rollout r = new Rollout("s", 2, 1, 1, 0, 60, Rollout.Status.RUNNING, "", 1, List.of("i-1"), List.of());
        RolloutPlanner.Order o =
                new RolloutPlanner().next(r, List.of(new RolloutPlanner.Member("i-1", "a", 3, false, false)), 0);
        assertEquals("pause", o.order());
        assertEquals(RolloutPlanner.Cause.WRONG_CHECKPOINT, o.cause());
    }

    @Test
    void checkerSeesBrokenHistories() {
        RolloutSimulation sim = new RolloutSimulation(1, 0.5, false);
        RolloutRequest a = new RolloutRequest(true, Set.of());
        a.answers = 2;
        a.pieces.addAll(List.of(1L, 3L));
        a.weights.addAll(List.of(1L, 2L));
        sim.history.add(a);
        RolloutRequest b = new RolloutRequest(false, Set.of());
        sim.history.add(b);
        assertEquals(4, sim.problems().size(), sim.problems().toString());
    }
}
