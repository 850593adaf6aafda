package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;

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
    private static final int NODES = 3;
    private static final int LOST = 1;
    private static final long SEED = 1;
    private static final long TICK_MS = 100;
    private static final int CALM_TICKS = 15;
    /** Each further deviation gets as many ticks, so that a second fault may begin when the first node counts no more as lost. */
    private static final int ROUND_TICKS = 45;
    /** The longest change of members, six calm seconds, and time for the order at the end. */
    private static final int END_TICKS = 130;
    /** A stopped or cut node comes back after this many ticks: once before, once after it is noticed. */
    private static final int[] OUTAGES = {2, 14};

    private static final int RECOVERY_TICKS = 40;
    private static final int SUCCESSOR_TICKS = 10;
    private static final int LEAVES_TICKS = 30;
    private static final int ENDS_TICKS = 45;
    private static final int HOLD_TICKS = 14;
    private static final int TIMEOUT_TICKS = 15;
    private static final int PROGRESS_TICKS = 25;
    private static final int MAXIMUM_ATTEMPTS = 5;
    private static final String LAST_ZONE = "last";

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
            Run run = new Run(schedule);
            run.execute();
            runs++;
            depth = Math.max(depth, run.step);
            run.violations().forEach(v -> findings.putIfAbsent(v.kind(), new Finding(schedule, v)));
            Collections.shuffle(run.branches, shuffle);
            for (Deviation next : run.branches) {
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
        Run run = explorer.new Run(schedule);
        run.execute();
        return run.violations();
    }

    /** What is to happen at a tick; {@code about} tells it from others in a fingerprint. */
    private record Later(int tick, Object about, Runnable run) {}

    private record Fingerprint(long version, long value) {}

    private interface Reply {
        /** A null outcome means that no answer came. */
        void take(Outcome outcome, byte[] body);
    }

    /** One execution from the start. */
    private final class Run implements ModelWorld.Driver {
        private final List<Deviation> schedule;
        private final ModelWorld world;
        private final ModelHistory history = new ModelHistory();
        private final ArrayDeque<ModelWorld.Envelope> messages = new ArrayDeque<>();
        private final ArrayDeque<ModelNode> writes = new ArrayDeque<>();
        private final List<Later> later = new ArrayList<>();
        private final Map<Long, Reply> replies = new TreeMap<>();
        private final Map<Integer, Fingerprint> fingerprints = new HashMap<>();
        private final Set<Integer> faulty = new HashSet<>();
        private final List<Deviation> branches = new ArrayList<>();
        private int next;
        private int step;
        private int tick;
        private long calls;
        private int acknowledged;
        private boolean pruned;

        Run(List<Deviation> schedule) {
            this.schedule = schedule;
            world = new ModelWorld(factory, NODES, LOST, SEED, this);
            script();
        }

        List<ModelViolation> violations() {
            List<ModelViolation> all = new ArrayList<>(world.monitor.violations());
            all.addAll(history.check(world.nowMs));
            return all;
        }

        void execute() {
            while (tick < ticks && !world.monitor.broken() && !pruned) {
                if (next < schedule.size() && schedule.get(next).step() == step) {
                    deviate(schedule.get(next++));
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

        private void passTime() {
            tick++;
            world.nowMs += TICK_MS;
            List<Later> due = later.stream().filter(l -> l.tick() <= tick).toList();
            later.removeAll(due);
            due.forEach(l -> l.run().run());
            world.nodes.values().stream().filter(ModelNode::running).forEach(world::tick);
        }

        private void inTicks(int n, Object about, Runnable run) {
            later.add(new Later(tick + n, about, run));
        }

        private void deliver(ModelWorld.Envelope envelope) {
            if (!world.arrives(envelope) || world.isCut(envelope.from(), envelope.to())) {
                return;
            }
            if (envelope.to().frozen) {
                inTicks(1, envelope.bytes(), () -> deliver(envelope));
                return;
            }
            world.deliver(envelope);
        }

        private void sync(ModelNode node) {
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
        public void answered(ModelNode node, ReplicatedState.Out.Answer answer) {
            Reply reply = replies.remove(answer.call());
            if (reply != null) {
                reply.take(answer.outcome(), answer.body());
            }
        }

        // ---- branching

        private void branchHere() {
            if (next < schedule.size()
                    || visitedBefore()
                    || schedule.size() >= bound
                    || tick < CALM_TICKS
                    || tick > lastDeviationTick) {
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
            if (actions.contains(action)) {
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
            int left = bound - schedule.size();
            long state = fingerprint();
            Integer before = visited.get(state);
            if (before != null && before >= left) {
                pruned = true;
                return true;
            }
            visited.put(state, left);
            return false;
        }

        private long fingerprint() {
            ModelFingerprint f = new ModelFingerprint()
                    .add(tick)
                    .add(acknowledged)
                    .add(replies.keySet())
                    .add(faulty);
            for (ModelNode node : world.nodes.values()) {
                f.add(fingerprint(node));
                world.nodes.values().forEach(other -> f.add(world.isCut(node, other)));
            }
            messages.forEach(m -> f.add(m.from().slot).add(m.to().slot).add(m.bytes()));
            writes.forEach(node -> f.add(node.slot));
            later.forEach(l -> f.add(l.tick()).add(l.about()));
            return f.value();
        }

        /** One node's part, kept until the node changes. */
        private long fingerprint(ModelNode node) {
            Fingerprint kept = fingerprints.get(node.slot);
            if (kept == null || kept.version() != node.version) {
                ModelFingerprint f = new ModelFingerprint()
                        .add(node.up())
                        .add(node.frozen)
                        .add(node.disk)
                        .add(node.chain)
                        .add(node.reachableSinceMs)
                        .add(node.writes.size());
                node.writes.forEach(store -> f.add(store.records()));
                kept = new Fingerprint(node.version, f.value());
                fingerprints.put(node.slot, kept);
            }
            return kept.value();
        }

        // ---- deviations

        private void deviate(Deviation d) {
            ModelNode node = world.nodes.get(d.slot());
            switch (d.action()) {
                case KILL:
                    stop(node, d, () -> world.kill(node));
                    break;
                case POWER:
                    stop(node, d, () -> world.losePower(node, 1, 0));
                    break;
                case TEAR:
                    stop(node, d, () -> world.losePower(node, 0, 1));
                    break;
                case WIPE:
                    stop(node, d, () -> world.wipe(node));
                    break;
                case FREEZE:
                    faulty.add(node.slot);
                    world.freeze(node);
                    inTicks(d.ticks(), d.action(), () -> {
                        world.thaw(node);
                        calmAgain(node);
                    });
                    break;
                case CUT:
                    cut(node, d, true);
                    break;
                case CUT_OUT:
                    cut(node, d, false);
                    break;
                case JOIN:
                    join();
                    break;
                case REPLACE:
                    faulty.add(node.slot);
                    join();
                    inTicks(LEAVES_TICKS, "leaves" + node, () -> node.leaving = true);
                    inTicks(ENDS_TICKS, "ends" + node, () -> remove(node));
                    break;
                case LOSE_AND_REPLACE:
                    faulty.add(node.slot);
                    remove(node);
                    inTicks(SUCCESSOR_TICKS, "successor", this::join);
                    break;
                case DROP:
                    messages.poll();
                    break;
                case HOLD:
                    ModelWorld.Envelope held = messages.poll();
                    inTicks(d.ticks(), held.bytes(), () -> deliver(held));
                    break;
                case DUPLICATE:
                    ModelWorld.Envelope twice = messages.peek();
                    inTicks(d.ticks(), twice.bytes(), () -> deliver(twice));
                    break;
                case SYNC_FIRST:
                    sync(writes.poll());
                    break;
                default:
                    passTime();
                    break;
            }
        }

        private void stop(ModelNode node, Deviation d, Runnable how) {
            faulty.add(node.slot);
            how.run();
            writes.removeIf(n -> n == node);
            inTicks(d.ticks(), d.action(), () -> {
                world.start(node, false);
                inTicks(2, "connect" + node, () -> world.nodes.values().forEach(other -> world.connect(other, node)));
                calmAgain(node);
            });
        }

        private void join() {
            int slot = world.nodes.size();
            world.add(slot, false);
            ModelNode node = world.nodes.get(slot);
            inTicks(2, "connect" + node, () -> world.nodes.values().forEach(other -> world.connect(other, node)));
        }

        private void remove(ModelNode node) {
            world.remove(node);
            writes.removeIf(n -> n == node);
            calmAgain(node);
        }

        private void cut(ModelNode node, Deviation d, boolean inwards) {
            faulty.add(node.slot);
            for (ModelNode other : world.nodes.values()) {
                if (other != node) {
                    world.cut(node, other);
                    if (inwards) {
                        world.cut(other, node);
                    }
                }
            }
            inTicks(d.ticks(), d.action(), () -> {
                for (ModelNode other : world.nodes.values()) {
                    if (other != node) {
                        world.heal(node, other);
                        if (inwards) {
                            world.heal(other, node);
                        }
                        world.connect(node, other);
                    }
                }
                calmAgain(node);
            });
        }

        /** A node counts as lost until four seconds after its fault. */
        private void calmAgain(ModelNode node) {
            inTicks(RECOVERY_TICKS, "recovered" + node, () -> faulty.remove(node.slot));
        }

        // ---- operators

        /** Two orders on one base through two nodes, an evacuation and its withdrawal, and an order at the end. */
        private void script() {
            inTicks(CALM_TICKS, "orders", () -> {
                put(history.invoke(0, 1, body(1)), 1, 1);
                put(history.invoke(0, 2, body(2)), 2, 1);
                mark(true, 1);
            });
            for (int round = 1; round < bound; round++) {
                inTicks(CALM_TICKS + round * ROUND_TICKS, "orders" + round, () -> mark(true, 1));
            }
            inTicks(ticks - PROGRESS_TICKS, "progress", this::insist);
            inTicks(ticks - 1, "end", () -> {
                if (!world.monitor.acknowledged(LAST_ZONE)) {
                    world.monitor.report(
                            ModelViolation.Kind.NO_PROGRESS,
                            "the order at the end is not acknowledged" + world.standing());
                }
            });
        }

        private String body(long revision) {
            return "{\"revision\":" + revision + ",\"routes\":[],\"services\":[]}";
        }

        /** Calls through that node, or the next one that runs. */
        private void call(int preferred, CallKind kind, long base, String arg, byte[] body, Reply reply) {
            int count = world.nodes.size();
            ModelNode node = world.nodes.get(preferred % count);
            for (int i = 1; i < count && !node.running(); i++) {
                node = world.nodes.get((preferred + i) % count);
            }
            if (!node.running()) {
                inTicks(1, "retry" + kind, () -> reply.take(null, new byte[0]));
                return;
            }
            long id = ++calls;
            replies.put(id, reply);
            inTicks(TIMEOUT_TICKS, "timeout" + id, () -> {
                Reply late = replies.remove(id);
                if (late != null) {
                    late.take(null, new byte[0]);
                }
            });
            world.call(node, kind.call(id, base, arg, body));
        }

        private void put(ModelHistory.Write write, int via, int attempt) {
            call(via, CallKind.PUT, write.base, "", write.body.getBytes(UTF_8), (outcome, body) -> {
                if (outcome == Outcome.TAKEN) {
                    acknowledged++;
                    history.acknowledge(write);
                    world.monitor.configAcknowledged(write.revision);
                    read(via + 1);
                } else if ((outcome == null || outcome == Outcome.UNCLEAR) && attempt < MAXIMUM_ATTEMPTS) {
                    put(write, via + 1, attempt + 1);
                } else if (outcome != null && outcome != Outcome.UNCLEAR) {
                    history.refuse(write);
                    read(via + 1);
                }
            });
        }

        private void mark(boolean on, int via) {
            world.monitor.evacuationInvoked("z");
            call(via, on ? CallKind.EVACUATE : CallKind.RESTORE, 0, "z", new byte[0], (outcome, body) -> {
                if (outcome != Outcome.TAKEN) {
                    mark(on, via + 1);
                    return;
                }
                acknowledged++;
                world.monitor.evacuationAcknowledged("z", on);
                if (on) {
                    mark(false, via + 1);
                }
            });
        }

        private void read(int via) {
            long invoked = history.tick();
            call(via, CallKind.READ, 0, "", new byte[0], (outcome, body) -> {
                if (outcome == Outcome.TAKEN) {
                    Validated<FleetConfig> found = FleetConfig.read(FleetConfig.unpack(body));
                    history.answerRead(
                            ((Validated.Valid<FleetConfig>) found).value().revision(), invoked);
                } else if (outcome == Outcome.NO_SUCH) {
                    history.answerRead(0, invoked);
                } else {
                    read(via + 1);
                }
            });
        }

        /** The order at the end is sent through one node after another until it is acknowledged. */
        private void insist() {
            insist(0);
        }

        private void insist(int via) {
            if (!world.monitor.acknowledged(LAST_ZONE)) {
                inTicks(2, "insist", () -> insist(via + 1));
                call(via, CallKind.EVACUATE, 0, LAST_ZONE, new byte[0], (outcome, body) -> {
                    if (outcome == Outcome.TAKEN) {
                        world.monitor.evacuationAcknowledged(LAST_ZONE, true);
                        read(via);
                    }
                });
            }
        }
    }
}
