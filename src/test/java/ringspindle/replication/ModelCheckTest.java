package ringspindle.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The part of the model checker that runs every time: fixed seeds and bounds, the same verdict each time. */
class ModelCheckTest {
    private static final long LENGTH_MS = 30_000;
    private static final long SEARCH_MS = 60_000;
    static final Set<ModelExplorer.Action> MEMBERS =
            EnumSet.of(ModelExplorer.Action.JOIN, ModelExplorer.Action.REPLACE, ModelExplorer.Action.LOSE_AND_REPLACE);
    private static final int SHRINK_RUNS = 100;
    private static final int PLANTED_SEEDS = 40;

    static void requireCleanSearch(Set<ModelExplorer.Action> actions) {
        ModelExplorer.Report report = new ModelExplorer(ModelFactory.REAL, actions, 1, SEARCH_MS, 1).explore();
        assertEquals(List.of(), report.findings());
        assertTrue(report.complete(), () -> "the search did not end: " + report);
    }

    static void requireClean(ModelPlan plan) {
        ModelWalk.Result result = ModelWalk.run(ModelFactory.REAL, plan);
        if (result.broken()) {
            ModelWalk.Result shorter = ModelShrinker.shrink(ModelFactory.REAL, result, SHRINK_RUNS);
            assertEquals(List.of(), shorter.violations(), () -> shorter.plan() + shorter.standing());
        }
        assertTrue(result.acknowledged() > 5, () -> "too little was acknowledged to show anything: " + plan);
    }

    static void requireClean(int size, int lost, int seeds, ModelPlan.Mix mix) {
        for (long seed = 1; seed <= seeds; seed++) {
            requireClean(ModelPlan.random(seed, size, lost, LENGTH_MS, mix));
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 1, 20", "5, 2, 8", "9, 4, 3"})
    void lossesBreakNothing(int size, int lost, int seeds) {
        requireClean(size, lost, seeds, ModelPlan.Mix.LOSSES);
    }

    /** Every single change of members at every step of three nodes that take two orders. */
    @Test
    void oneChangeOfMembersAnywhereBreaksNothing() {
        requireCleanSearch(MEMBERS);
    }

    /** The checker sees a fault that is planted around the real machine. */
    @ParameterizedTest
    @EnumSource(ModelPlanted.class)
    void plantedFaultIsSeen(ModelPlanted planted) {
        for (long seed = 1; seed <= PLANTED_SEEDS; seed++) {
            ModelPlan plan = ModelPlan.random(seed, 3, 1, LENGTH_MS, planted.mix());
            ModelWalk.Result result = ModelWalk.run(planted.factory(), plan);
            boolean seen = result.broken()
                    && planted.seenAs().contains(result.violations().get(0).kind());
            // only what the machine itself does right shows that the planted fault was seen
            if (seen && !ModelWalk.run(ModelFactory.REAL, plan).broken()) {
                return;
            }
        }
        fail("not seen: " + planted);
    }

    @Test
    void runIsTheSameEachTimeAndFromItsText() {
        ModelPlan plan = ModelPlan.random(5, 3, 1, LENGTH_MS, ModelPlan.Mix.ALL);
        ModelWalk.Result first = ModelWalk.run(ModelFactory.REAL, plan);
        ModelWalk.Result again = ModelWalk.run(ModelFactory.REAL, ModelPlan.read(plan.toString()));
        assertEquals(first.steps(), again.steps());
        assertEquals(first.violations(), again.violations());
    }

    @Test
    void failingRunIsShrunkAndReplays() {
        ModelPlan plan = ModelPlan.random(1, 3, 1, LENGTH_MS, ModelPlan.Mix.LOSSES);
        ModelFactory broken = ModelPlanted.NO_PROMISES.factory();
        ModelWalk.Result failing = ModelWalk.run(broken, plan);
        assertTrue(failing.broken());
        ModelWalk.Result shrunk = ModelShrinker.shrink(broken, failing, SHRINK_RUNS);
        assertTrue(shrunk.plan().faults().size() <= 2, () -> shrunk.plan().toString());
        ModelWalk.Result replayed =
                ModelWalk.run(broken, ModelPlan.read(shrunk.plan().toString()));
        assertEquals(shrunk.violations(), replayed.violations());
        assertFalse(plan.faults().size() <= 2, "nothing to shrink");
    }
}
