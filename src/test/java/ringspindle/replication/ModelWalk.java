package ringspindle.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** One run over a {@link ModelPlan}: every delay is drawn from the plan's seed, so that the run is the same each time. */
final class ModelWalk implements ModelWorld.Driver {
    static final long SUCCESSOR_MS = 1000;
    static final long LEAVES_MS = 3000;
    static final long REPLACEMENT_ENDS_MS = 4500;
    static final long WAIT_FOR_ACK_MS = 4000;
    static final long CLOSING_FAULT_MS = 13_000;
    /** How long a majority has to be calm before an order must be acknowledged, and how long that may take. */
    static final long CALM_MS = 6000;

    static final long PROGRESS_MS = 3000;
    /** Longest that a drawn fault goes on after the plan's end. */
    private static final long OVERHANG_MS = 2500;

    static final long TICK_MS = 100;

    /** What a run came to. */
    record Result(
            ModelPlan plan,
            List<ModelViolation> violations,
            int acknowledged,
            int reads,
            long steps,
            long epochs,
            int maximumVoters,
            String standing) {
        boolean broken() {
            return !violations.isEmpty();
        }
    }

    private record Event(long atMs, long order, Runnable run) {}

    private final ModelPlan plan;
    final ModelWorld world;
    final ModelOperators operators;
    private final ModelNetwork network;
    private final ModelDisks disks;
    private final ModelWalkFaults faults;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final List<Runnable> afterAcknowledgement = new ArrayList<>();
    private long order;
    private long impatientUntilMs;

    ModelWalk(ModelFactory factory, ModelPlan plan) {
        this.plan = plan;
        world = new ModelWorld(factory, plan.size(), plan.lost(), plan.seed(), this);
        operators = new ModelOperators(this, plan.seed());
        network = new ModelNetwork(this, plan.seed());
        disks = new ModelDisks(this, plan.seed());
        faults = new ModelWalkFaults(this, network, disks);
    }

    /** {@code ModelWalk.run(ModelFactory.REAL, ModelPlan.random(7, 3, 1, 60_000, Mix.ALL))}. */
    static Result run(ModelFactory factory, ModelPlan plan) {
        return new ModelWalk(factory, plan).run();
    }

    private Result run() {
        world.nodes.values().forEach(this::tickOn);
        for (ModelFault fault : plan.faults()) {
            at(fault.atMs(), () -> faults.inflict(fault));
        }
        operators.start();
        long closing = plan.lengthMs() + OVERHANG_MS + CALM_MS;
        at(closing, () -> operators.requireProgress(PROGRESS_MS));
        long end = plan.lengthMs() + CLOSING_FAULT_MS + CALM_MS;
        at(end, () -> operators.requireProgress(PROGRESS_MS));
        at(end + PROGRESS_MS, operators::finish);
        until(end + 2 * PROGRESS_MS);
        List<ModelViolation> violations = new ArrayList<>(world.monitor.violations());
        if (violations.isEmpty()) {
            violations.addAll(operators.history.check(world.nowMs));
        }
        return new Result(
                plan,
                violations,
                operators.history.acknowledged(),
                operators.history.reads(),
                world.steps,
                world.monitor.epochs(),
                world.monitor.maximumVoters,
                world.standing());
    }

    private void until(long endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs && !world.monitor.broken()) {
            Event event = events.poll();
            world.nowMs = event.atMs();
            event.run().run();
        }
    }

    void at(long atMs, Runnable run) {
        events.add(new Event(atMs, order++, run));
    }

    void in(long delayMs, Runnable run) {
        at(world.nowMs + delayMs, run);
    }

    /** The process is told of time from now on. */
    void tickOn(ModelNode node) {
        int life = node.life;
        in(TICK_MS, () -> tick(node, life));
    }

    private void tick(ModelNode node, int life) {
        if (node.life == life && node.up()) {
            if (!node.frozen) {
                world.tick(node);
            }
            in(TICK_MS, () -> tick(node, life));
        }
    }

    // ---- what machines ask for

    @Override
    public void sent(ModelWorld.Envelope envelope) {
        faults.sent(envelope);
        network.sent(envelope);
    }

    @Override
    public void writing(ModelNode node) {
        disks.scheduleSync(node);
    }

    @Override
    public void answered(ModelNode node, ReplicatedState.Output.Answer answer) {
        operators.answered(answer);
    }

    /** For that time operators give up early. */
    void impatientFor(long forMs) {
        impatientUntilMs = world.nowMs + forMs;
    }

    boolean impatient() {
        return world.nowMs < impatientUntilMs;
    }

    /** Runs it right after the next acknowledgement. */
    void afterAcknowledgement(Runnable run) {
        afterAcknowledgement.add(run);
    }

    void acknowledged() {
        List<Runnable> due = new ArrayList<>(afterAcknowledgement);
        afterAcknowledgement.clear();
        // not within the machine's own step
        due.forEach(run -> in(0, run));
    }
}
