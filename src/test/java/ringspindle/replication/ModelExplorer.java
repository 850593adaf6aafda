package ringspindle.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Exhaustive search on small cases: three nodes, two configuration orders on one base, an evacuation and its withdrawal.
 *
 * <p>The default run delivers the oldest message, else syncs the oldest write, else lets 100 ms pass. A deviation is put in
 * at any step: a fault, or another order of steps. The search visits every set of up to {@code bound} deviations (delay-bounded
 * search); with a bound above 1 the evacuation and its withdrawal come again for each further
 * deviation. Machines are mutable, so each schedule is executed anew from the start. A state that was reached before with
 * at least as many deviations left is not gone into again; states are told apart by {@link ModelFingerprint} over machines,
 * disks, writes under way and messages under way. Symmetry is not used: the three nodes differ by their place in the chain.
 */
final class ModelExplorer {
    static final long TICK_MS = 100;
    /** Nothing is done to the nodes before this. */
    static final int CALM_TICKS = 15;

    /** Each further deviation gets as many ticks, so that a second fault may begin when the first node counts no more as lost. */
    static final int ROUND_TICKS = 45;
    /** The longest change of members, six calm seconds, and time for the order at the end. */
    private static final int END_TICKS = 130;

    /** What is done instead of the default step. */
    enum Action {
        KILL,
        POWER,
        TEAR,
        WIPE,
        FREEZE,
        CUT,
        CUT_OUT,
        JOIN,
        REPLACE,
        LOSE_AND_REPLACE,
        DROP,
        HOLD,
        DUPLICATE,
        SYNC_FIRST,
        TICK_FIRST
    }

    /** A deviation at a step; {@code ticks} is its length where it has one. */
    record Deviation(int step, Action action, int slot, int ticks) {
        @Override
        public String toString() {
            return step + " " + action + " n" + slot + (ticks > 0 ? " for " + ticks * TICK_MS + " ms" : "");
        }
    }

    /** A broken property and the schedule that leads there. */
    record Finding(List<Deviation> schedule, ModelViolation violation) {}

    private final ModelFactory factory;
    private final Set<Action> actions;
    private final int bound;
    private final int lastDeviationTick;
    private final int ticks;
    private final Random shuffle;
    private final long deadlineNanos;
    private final Map<Long, Integer> visited = new HashMap<>();
    private final Map<ModelViolation.Kind, Finding> findings = new TreeMap<>();
    private int runs;
    private int depth;
    private boolean complete = true;

    /**
     * {@code new ModelExplorer(ModelFactory.REAL, EnumSet.allOf(Action.class), 1, 20_000, 1).explore()}; the seed only says in
     * which order schedules are visited, for searches that don't come to their end in time.
     */
    ModelExplorer(ModelFactory factory, Set<Action> actions, int bound, long budgetMs, long seed) {
        this.factory = factory;
        this.actions = actions;
        this.bound = bound;
        this.lastDeviationTick = bound * ROUND_TICKS;
        this.ticks = lastDeviationTick + END_TICKS;
        this.shuffle = new Random(seed);
        this.deadlineNanos = System.nanoTime() + budgetMs * 1_000_000;
    }

    /** What a search came to; {@code complete} is false if the time ran out. */
    record Report(int runs, int states, int depth, boolean complete, List<Finding> findings) {}

    Report explore() {
        ArrayDeque<List<Deviation>> open = new ArrayDeque<>();
        open.add(List.of());
        while (!open.isEmpty()) {
            if (System.nanoTime() > deadlineNanos) {
                complete = false;
                break;
            }
            List<Deviation> schedule = open.pollLast();
            ModelSearchRun run = run(schedule);
            runs++;
            depth = Math.max(depth, run.steps());
            run.violations().forEach(v -> findings.putIfAbsent(v.kind(), new Finding(schedule, v)));
            List<Deviation> branches = run.branches();
            Collections.shuffle(branches, shuffle);
            for (Deviation next : branches) {
                List<Deviation> longer = new ArrayList<>(schedule);
                longer.add(next);
                open.add(longer);
            }
        }
        return new Report(runs, visited.size(), depth, complete, List.copyOf(findings.values()));
    }

    /** Executes one schedule again; {@code violations(factory, 1, finding.schedule())}. */
    static List<ModelViolation> violations(ModelFactory factory, int bound, List<Deviation> schedule) {
        ModelExplorer explorer = new ModelExplorer(factory, Set.of(), bound, Long.MAX_VALUE / 2_000_000, 0);
        return explorer.run(schedule).violations();
    }

    private ModelSearchRun run(List<Deviation> schedule) {
        ModelSearchRun run = new ModelSearchRun(this, schedule);
        run.execute();
        return run;
    }

    // ---- what a run asks

    ModelFactory factory() {
        return factory;
    }

    /** How many deviations a schedule may have. */
    int bound() {
        return bound;
    }

    /** How long each run is. */
    int ticks() {
        return ticks;
    }

    boolean mayDeviate(int tick) {
        return tick >= CALM_TICKS && tick <= lastDeviationTick;
    }

    boolean allows(Action action) {
        return actions.contains(action);
    }

    /** Notes a state; false if it was reached before with at least as many deviations left. */
    boolean enter(long state, int left) {
        Integer before = visited.get(state);
        if (before != null && before >= left) {
            return false;
        }
        visited.put(state, left);
        return true;
    }
}
