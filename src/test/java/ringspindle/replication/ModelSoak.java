package ringspindle.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * The model checker for as long as asked; not part of the usual run.
 *
 * <p>{@code mvn test -Dtest=ModelSoak#walks -Dmodel.seconds=600 -Dmodel.seed=1} walks at random, {@code ModelSoak#search}
 * searches with two deviations ({@code -Dmodel.bound=2 -Dmodel.actions=KILL,CUT}), {@code ModelSoak#replay} runs the
 * plan in {@code -Dmodel.plan="..."} again. {@code -Dmodel.mix=LOSSES} keeps the walks to one mix, {@code -Dmodel.size=3} to one size.
 */
class ModelSoak {
    private static final long SECONDS = Long.getLong("model.seconds", 30);
    private static final long FIRST_SEED = Long.getLong("model.seed", 1);
    private static final int BOUND = Integer.getInteger("model.bound", 2);
    private static final int SIZE = Integer.getInteger("model.size", 0);
    private static final String MIX = System.getProperty("model.mix", "");
    private static final String ACTIONS = System.getProperty("model.actions", "");
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final int SHRINK_RUNS = 200;
    private static final int[][] SIZES = {{3, 1}, {5, 2}, {9, 4}};

    /** What the walks of one size and mix came to. */
    private static final class Row {
        int runs;
        long steps;
        long epochs;
        long acknowledged;
        long reads;
        final Map<ModelViolation.Kind, List<Long>> seeds = new TreeMap<>();

        void add(ModelWalk.Result result) {
            runs++;
            steps += result.steps();
            epochs += result.epochs();
            acknowledged += result.acknowledged();
            reads += result.reads();
            if (result.broken()) {
                seeds.computeIfAbsent(result.violations().get(0).kind(), k -> new ArrayList<>())
                        .add(result.plan().seed());
            }
        }
    }

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final Map<String, ModelWalk.Result> shortest = new TreeMap<>();

    @Test
    void walks() {
        long deadline = System.nanoTime() + SECONDS * NANOS_PER_SECOND;
        long seed = FIRST_SEED;
        while (System.nanoTime() < deadline) {
            for (int[] size : SIZES) {
                for (ModelPlan.Mix mix : ModelPlan.Mix.values()) {
                    boolean wanted = (SIZE == 0 || SIZE == size[0]) && (MIX.isEmpty() || MIX.equals(mix.name()));
                    if (wanted && System.nanoTime() < deadline) {
                        walk(seed, size[0], size[1], mix);
                    }
                }
            }
            seed++;
        }
        print(seed - 1);
        assertEquals(0, shortest.size(), "findings are listed above");
    }

    private void walk(long seed, int size, int lost, ModelPlan.Mix mix) {
        long lengthMs = 30_000 + Math.floorMod(ModelRandom.mix(seed, size, mix.ordinal()), 90_000L);
        ModelWalk.Result result = ModelWalk.run(ModelFactory.REAL, ModelPlan.random(seed, size, lost, lengthMs, mix));
        rows.computeIfAbsent(size + " nodes, " + lost + " lost, " + mix, k -> new Row())
                .add(result);
        if (result.broken()) {
            String what = result.violations().get(0).kind() + " " + size + " " + mix;
            shortest.computeIfAbsent(what, k -> ModelShrinker.shrink(ModelFactory.REAL, result, SHRINK_RUNS));
        }
    }

    private void print(long lastSeed) {
        System.out.println("seeds " + FIRST_SEED + " to " + lastSeed);
        System.out.println("| walks | runs | steps | views | orders taken | reads | broken in |");
        System.out.println("|---|---|---|---|---|---|---|");
        rows.forEach((name, row) -> System.out.println(
                "| " + name + " | " + row.runs + " | " + row.steps + " | " + row.epochs + " | " + row.acknowledged
                        + " | " + row.reads + " | " + (row.seeds.isEmpty() ? "none" : row.seeds) + " |"));
        shortest.values()
                .forEach(result -> System.out.println(
                        "finding: " + result.violations().get(0) + "\n  plan: " + result.plan() + result.standing()));
    }

    private static Set<ModelExplorer.Action> actions() {
        Set<ModelExplorer.Action> actions = EnumSet.noneOf(ModelExplorer.Action.class);
        for (String name : ACTIONS.split(",")) {
            if (!name.isBlank()) {
                actions.add(ModelExplorer.Action.valueOf(name));
            }
        }
        return actions.isEmpty() ? EnumSet.allOf(ModelExplorer.Action.class) : actions;
    }

    @Test
    void search() {
        System.out.println("| deviations | bound | runs | states | depth | complete | findings |");
        System.out.println("|---|---|---|---|---|---|---|");
        ModelExplorer.Report report =
                new ModelExplorer(ModelFactory.REAL, actions(), BOUND, SECONDS * 1000, FIRST_SEED).explore();
        System.out.println("| " + actions() + " | " + BOUND + " | " + report.runs() + " | " + report.states()
                + " | " + report.depth() + " | "
                + report.complete() + " | " + report.findings().size() + " |");
        report.findings().forEach(finding -> System.out.println("finding: " + finding));
        assertEquals(List.of(), report.findings());
    }

    @Test
    void replay() {
        String plan = System.getProperty("model.plan", "");
        if (!plan.isEmpty()) {
            ModelWalk.Result result = ModelWalk.run(ModelFactory.REAL, ModelPlan.read(plan));
            System.out.println(result.plan() + result.standing());
            assertEquals(List.of(), result.violations());
        }
    }
}
