package ringspindle.replication;

import java.util.ArrayList;
import java.util.List;

/** Shrinks a failing plan for as long as it still violates the same property. */
final class ModelShrinker {
    private final ModelFactory factory;
    private final ModelViolation.Kind kind;
    private int runsLeft;
    private ModelWalk.Result shortest;

    private ModelShrinker(ModelFactory factory, ModelWalk.Result failing, int runs) {
        this.factory = factory;
        this.shortest = failing;
        this.kind = failing.violations().get(0).kind();
        this.runsLeft = runs;
    }

    /** Returns the result of the smallest failing plan found within {@code runs} runs. */
    static ModelWalk.Result shrink(ModelFactory factory, ModelWalk.Result failing, int runs) {
        ModelShrinker shrinker = new ModelShrinker(factory, failing, runs);
        shrinker.endEarlier();
        shrinker.dropFaults();
        shrinker.shortenFaults();
        shrinker.endEarlier();
        return shrinker.shortest;
    }

    private boolean fails(ModelPlan plan) {
        if (!plan.sparesItsLosses() || runsLeft-- <= 0) {
            return false;
        }
        ModelWalk.Result result = ModelWalk.run(factory, plan);
        if (result.broken() && result.violations().get(0).kind() == kind) {
            shortest = result;
            return true;
        }
        return false;
    }

    /** Drops faults after the violation, which cannot have caused it, and ends the plan earlier if it still fails. */
    private void endEarlier() {
        long brokenMs = shortest.violations().get(0).atMs();
        ModelPlan plan = shortest.plan();
        List<ModelFault> before =
                plan.faults().stream().filter(fault -> fault.atMs() <= brokenMs).toList();
        long lastMs = before.stream()
                .mapToLong(fault -> fault.atMs() + fault.forMs())
                .max()
                .orElse(0);
        for (long lengthMs : new long[] {lastMs, brokenMs}) {
            // progress is required only after all scheduled faults have ended
            boolean calm = kind != ModelViolation.Kind.NO_PROGRESS || lengthMs == lastMs;
            if (calm
                    && lengthMs < plan.lengthMs()
                    && fails(new ModelPlan(plan.seed(), plan.size(), plan.lost(), lengthMs, before))) {
                return;
            }
        }
    }

    /** Drops halves of the fault list, then quarters, and so on down to single faults. */
    private void dropFaults() {
        for (int piece = Math.max(1, shortest.plan().faults().size() / 2); piece >= 1; piece /= 2) {
            int from = 0;
            while (from < shortest.plan().faults().size()) {
                List<ModelFault> fewer = new ArrayList<>(shortest.plan().faults());
                fewer.subList(from, Math.min(fewer.size(), from + piece)).clear();
                if (!fails(shortest.plan().with(fewer))) {
                    from += piece;
                }
            }
        }
    }

    private void shortenFaults() {
        for (int i = 0; i < shortest.plan().faults().size(); i++) {
            ModelFault fault = shortest.plan().faults().get(i);
            for (long forMs = fault.forMs() / 2; forMs >= 100; forMs /= 2) {
                List<ModelFault> changed = new ArrayList<>(shortest.plan().faults());
                changed.set(
                        i,
                        new ModelFault(fault.atMs(), fault.kind(), fault.slot(), fault.other(), forMs, fault.detail()));
                if (!fails(shortest.plan().with(changed))) {
                    break;
                }
            }
        }
    }
}
