package ringspindle.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ringspindle.replication.ModelExplorer.Action;
import ringspindle.replication.ModelExplorer.Deviation;

/** One execution of {@link ModelExplorer} from the start: default steps, deviations, and what else could be done at each step. */
final class ModelSearchRun implements ModelWorld.Driver {
    private static final int NODES = 3;
    private static final int LOST = 1;
    private static final long SEED = 1;
    /** A stopped or cut node comes back after this many ticks: once before, once after it is noticed. */
    private static final int[] OUTAGES = {2, 14};

    private static final int HOLD_TICKS = 14;

    /** What is to happen at a tick; {@code about} tells it from others in a fingerprint. */
    private record Later(int tick, Object about, Runnable run) {}

    private final ModelExplorer explorer;
    private final List<Deviation> schedule;
    final ModelWorld world;
    final ArrayDeque<ModelWorld.Envelope> messages = new ArrayDeque<>();
    final ArrayDeque<ModelNode> writes = new ArrayDeque<>();
    private final List<Later> later = new ArrayList<>();
    private final ModelSearchOperators operators;
    private final ModelDeviations deviations;
    private final ModelSearchState state;
    final Set<Integer> faulty = new HashSet<>();
    private final List<Deviation> branches = new ArrayList<>();
    private int next;
    private int step;
    private int tick;
    private boolean pruned;

    ModelSearchRun(ModelExplorer explorer, List<Deviation> schedule) {
        this.explorer = explorer;
        this.schedule = schedule;
        world = new ModelWorld(explorer.factory(), NODES, LOST, SEED, this);
        operators = new ModelSearchOperators(this, explorer);
        deviations = new ModelDeviations(this);
        state = new ModelSearchState(world);
        operators.script();
    }

    int steps() {
        return step;
    }

    /** Deviations that could have been put in behind those of the schedule. */
    List<Deviation> branches() {
        return branches;
    }

    List<ModelViolation> violations() {
        List<ModelViolation> all = new ArrayList<>(world.monitor.violations());
        all.addAll(operators.history.check(world.nowMs));
        return all;
    }

    void execute() {
        while (tick < explorer.ticks() && !world.monitor.broken() && !pruned) {
            if (next < schedule.size() && schedule.get(next).step() == step) {
                deviations.apply(schedule.get(next++));
            } else {
                branchHere();
                if (!pruned) {
                    defaultStep();
                }
            }
            step++;
        }
    }

    private void defaultStep() {
        if (!messages.isEmpty()) {
            deliver(messages.poll());
        } else if (!writes.isEmpty()) {
            sync(writes.poll());
        } else {
            passTime();
        }
    }

    void passTime() {
        tick++;
        world.nowMs += ModelExplorer.TICK_MS;
        List<Later> due = later.stream().filter(l -> l.tick() <= tick).toList();
        later.removeAll(due);
        due.forEach(l -> l.run().run());
        world.nodes.values().stream().filter(ModelNode::running).forEach(world::tick);
    }

    void inTicks(int n, Object about, Runnable run) {
        later.add(new Later(tick + n, about, run));
    }

    void deliver(ModelWorld.Envelope envelope) {
        if (!world.arrives(envelope) || world.isCut(envelope.from(), envelope.to())) {
            return;
        }
        if (envelope.to().frozen) {
            inTicks(1, envelope.bytes(), () -> deliver(envelope));
            return;
        }
        world.deliver(envelope);
    }

    void sync(ModelNode node) {
        if (!node.up() || node.writes.isEmpty()) {
            return;
        }
        if (node.frozen) {
            inTicks(1, "sync" + node, () -> sync(node));
            return;
        }
        world.sync(node);
    }

    @Override
    public void sent(ModelWorld.Envelope envelope) {
        messages.add(envelope);
    }

    @Override
    public void writing(ModelNode node) {
        writes.add(node);
    }

    @Override
    public void answered(ModelNode node, ReplicatedState.Output.Answer answer) {
        operators.answered(answer);
    }

    // ---- branching

    private void branchHere() {
        if (next < schedule.size()
                || visitedBefore()
                || schedule.size() >= explorer.bound()
                || !explorer.mayDeviate(tick)) {
            return;
        }
        for (ModelNode node : world.nodes.values()) {
            if (faulty.isEmpty() && node.up()) {
                addFaults(node);
                addMemberChanges(node);
            }
        }
        if (faulty.isEmpty()) {
            add(Action.JOIN, 0, 0);
        }
        addReorderings();
    }

    private void add(Action action, int slot, int ticksLong) {
        if (explorer.allows(action)) {
            branches.add(new Deviation(step, action, slot, ticksLong));
        }
    }

    private void addFaults(ModelNode node) {
        for (int outage : OUTAGES) {
            add(Action.KILL, node.slot, outage);
            add(Action.WIPE, node.slot, outage);
            add(Action.FREEZE, node.slot, outage);
            add(Action.CUT, node.slot, outage);
            add(Action.CUT_OUT, node.slot, outage);
            if (!node.writes.isEmpty()) {
                add(Action.POWER, node.slot, outage);
                add(Action.TEAR, node.slot, outage);
            }
        }
    }

    private void addMemberChanges(ModelNode node) {
        add(Action.REPLACE, node.slot, 0);
        add(Action.LOSE_AND_REPLACE, node.slot, 0);
    }

    private void addReorderings() {
        if (!messages.isEmpty()) {
            add(Action.DROP, messages.peek().to().slot, 0);
            add(Action.HOLD, messages.peek().to().slot, HOLD_TICKS);
            add(Action.DUPLICATE, messages.peek().to().slot, HOLD_TICKS);
            if (!writes.isEmpty()) {
                add(Action.SYNC_FIRST, writes.peek().slot, 0);
            }
        }
        if (!messages.isEmpty() || !writes.isEmpty()) {
            add(Action.TICK_FIRST, 0, 0);
        }
    }

    /** Notes the state; a state that was reached with as many deviations left is not gone into again. */
    private boolean visitedBefore() {
        int left = explorer.bound() - schedule.size();
        pruned = !explorer.enter(fingerprint(), left);
        return pruned;
    }

    private long fingerprint() {
        ModelFingerprint fingerprint = new ModelFingerprint()
                .add(tick)
                .add(operators.acknowledged())
                .add(operators.awaited())
                .add(faulty);
        state.addNodes(fingerprint);
        messages.forEach(message ->
                fingerprint.add(message.from().slot).add(message.to().slot).add(message.bytes()));
        writes.forEach(node -> fingerprint.add(node.slot));
        later.forEach(event -> fingerprint.add(event.tick()).add(event.about()));
        return fingerprint.value();
    }
}
