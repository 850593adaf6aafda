package ringspindle.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;

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

    private static final long BEAT_MS = 100;
    private static final long RECONNECT_MS = 50;
    /** Longest that a message is held up; a connection silent for that long is closed by its far end. */
    private static final int HELD_UP_MS = 1800;

    private static final long VOTER_RESTART_MS = 200;
    private static final int LINK_DELAY_MS = 20;
    private static final int DISK_DELAY_MS = 8;

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

    private record HeldUp(ModelWorld.Envelope envelope, long sinceMs) {}

    private record Event(long atMs, long order, Runnable run) {}

    private final ModelPlan plan;
    final ModelWorld world;
    final ModelOperators operators;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final Map<Long, Long> linkFreeMs = new HashMap<>();
    private final Map<Long, ModelRandom> linkRandom = new HashMap<>();
    private final Map<Integer, ModelRandom> diskRandom = new HashMap<>();
    private final Map<Integer, Long> diskFreeMs = new HashMap<>();
    private final Map<Integer, Long> diskHangsUntilMs = new HashMap<>();
    private final Map<Integer, List<ModelWorld.Envelope>> waitingForThaw = new HashMap<>();
    private final List<HeldUp> waitingForLink = new ArrayList<>();
    private final Set<Long> heldLinks = new HashSet<>();
    private final List<Runnable> afterAcknowledgement = new ArrayList<>();
    private long order;
    private long noiseUntilMs;
    private int noise;
    private ModelFault voteCrash;
    private long impatientUntilMs;

    ModelWalk(ModelFactory factory, ModelPlan plan) {
        this.plan = plan;
        world = new ModelWorld(factory, plan.size(), plan.lost(), plan.seed(), this);
        operators = new ModelOperators(this, plan.seed());
    }

    /** {@code ModelWalk.run(ModelFactory.REAL, ModelPlan.random(7, 3, 1, 60_000, Mix.ALL))}. */
    static Result run(ModelFactory factory, ModelPlan plan) {
        return new ModelWalk(factory, plan).run();
    }

    private Result run() {
        world.nodes.values().forEach(this::beatOn);
        for (ModelFault fault : plan.faults()) {
            at(fault.atMs(), () -> inflict(fault));
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

    private void beatOn(ModelNode node) {
        int life = node.life;
        in(BEAT_MS, () -> beat(node, life));
    }

    private void beat(ModelNode node, int life) {
        if (node.life == life && node.up()) {
            if (!node.frozen) {
                world.tick(node);
            }
            in(BEAT_MS, () -> beat(node, life));
        }
    }

    // ---- links and disks

    private static long link(ModelWorld.Envelope envelope) {
        return (long) envelope.from().slot << 32 | envelope.to().slot;
    }

    @Override
    public void sent(ModelWorld.Envelope envelope) {
        if (voteCrash != null && Codec.decode(envelope.bytes()) instanceof Message.Accepted) {
            ModelFault fault = voteCrash;
            voteCrash = null;
            // not within the machine's own step
            in(0, () -> crashVoter(envelope.from(), envelope.to(), fault));
        }
        long link = link(envelope);
        ModelRandom random = linkRandom.computeIfAbsent(link, k -> new ModelRandom(plan.seed(), k + 1_000_000));
        int delayMs = 1 + random.below(LINK_DELAY_MS);
        int choice = random.below(3 * 1000);
        boolean noisy = world.nowMs < noiseUntilMs && choice / 3 % noise == 0;
        if (noisy && choice % 3 == 0) {
            return;
        }
        if (noisy && choice % 3 == 1) {
            in(delayMs + choice % HELD_UP_MS, () -> deliver(envelope));
            return;
        }
        if (noisy) {
            in(delayMs + choice % HELD_UP_MS, () -> deliver(envelope));
        }
        long whenMs = Math.max(linkFreeMs.getOrDefault(link, 0L), world.nowMs + delayMs);
        linkFreeMs.put(link, whenMs);
        at(whenMs, () -> deliver(envelope));
    }

    private void deliver(ModelWorld.Envelope envelope) {
        if (!world.arrives(envelope)) {
            return;
        }
        if (world.isCut(envelope.from(), envelope.to())) {
            if (heldLinks.contains(link(envelope))) {
                waitingForLink.add(new HeldUp(envelope, world.nowMs));
            }
            return;
        }
        if (envelope.to().frozen) {
            waitingForThaw
                    .computeIfAbsent(envelope.to().slot, k -> new ArrayList<>())
                    .add(envelope);
            return;
        }
        world.deliver(envelope);
    }

    @Override
    public void writing(ModelNode node) {
        ModelRandom random = diskRandom.computeIfAbsent(node.slot, k -> new ModelRandom(plan.seed(), k + 2_000_000));
        long freeMs = Math.max(diskFreeMs.getOrDefault(node.slot, 0L), diskHangsUntilMs.getOrDefault(node.slot, 0L));
        long whenMs = Math.max(world.nowMs, freeMs) + 1 + random.below(DISK_DELAY_MS);
        diskFreeMs.put(node.slot, whenMs);
        int life = node.life;
        at(whenMs, () -> sync(node, life));
    }

    private void sync(ModelNode node, int life) {
        if (node.life != life || !node.up()) {
            return;
        }
        if (node.frozen) {
            // the process takes note when it runs again
            in(BEAT_MS, () -> sync(node, life));
            return;
        }
        if (!node.writes.isEmpty()) {
            world.sync(node);
        }
    }

    @Override
    public void answered(ModelNode node, ReplicatedState.Out.Answer answer) {
        operators.answered(answer);
    }

    boolean impatient() {
        return world.nowMs < impatientUntilMs;
    }

    void acknowledged() {
        List<Runnable> due = new ArrayList<>(afterAcknowledgement);
        afterAcknowledgement.clear();
        // not within the machine's own step
        due.forEach(run -> in(0, run));
    }

    // ---- faults

    private void inflict(ModelFault fault) {
        switch (fault.kind()) {
            case NOISE:
                noiseUntilMs = world.nowMs + fault.forMs();
                noise = fault.detail();
                break;
            case IMPATIENT:
                impatientUntilMs = world.nowMs + fault.forMs();
                break;
            case VOTE_CRASH:
                voteCrash = fault;
                break;
            case JOIN:
                join(fault.slot());
                break;
            case KILL_ALL:
            case POWER_ALL:
                ModelFault.Kind each =
                        fault.kind() == ModelFault.Kind.KILL_ALL ? ModelFault.Kind.KILL : ModelFault.Kind.POWER;
                present().forEach(node -> stop(node, each, fault));
                break;
            case WIPE_ACKED:
                afterAcknowledgement.add(() -> wipeAcknowledged(fault));
                break;
            default:
                ModelNode node = world.nodes.get(fault.slot());
                if (node != null && !node.removed) {
                    inflict(node, fault);
                }
                break;
        }
    }

    private List<ModelNode> present() {
        return world.nodes.values().stream().filter(node -> !node.removed).toList();
    }

    private void inflict(ModelNode node, ModelFault fault) {
        switch (fault.kind()) {
            case KILL:
            case POWER:
            case WIPE:
                stop(node, fault.kind(), fault);
                break;
            case FREEZE:
                freeze(node, fault.forMs());
                break;
            case CUT:
            case CUT_HELD:
                cutAround(node, true, true, fault);
                break;
            case CUT_OUT:
                cutAround(node, true, false, fault);
                break;
            case CUT_IN:
                cutAround(node, false, true, fault);
                break;
            case LINK:
                ModelNode other = world.nodes.get(fault.other());
                if (other != null && other != node) {
                    cut(node, other, fault.forMs(), fault.detail() == 1);
                }
                break;
            case DISK:
                diskHangsUntilMs.put(node.slot, world.nowMs + fault.forMs());
                break;
            case REMOVE:
                world.remove(node);
                break;
            case REPLACE:
                join(fault.other());
                in(LEAVES_MS, () -> node.leaving = true);
                in(REPLACEMENT_ENDS_MS, () -> world.remove(node));
                break;
            case LOSE_AND_REPLACE:
                world.remove(node);
                in(SUCCESSOR_MS, () -> join(fault.other()));
                break;
            default:
                throw new IllegalStateException("no fault of one node: " + fault);
        }
    }

    private void join(int slot) {
        world.add(slot, false);
        ModelNode node = world.nodes.get(slot);
        beatOn(node);
        connectSoon(node);
    }

    private void stop(ModelNode node, ModelFault.Kind kind, ModelFault fault) {
        if (kind == ModelFault.Kind.POWER) {
            world.losePower(node, fault.detail() / 4, fault.detail() % 4);
        } else if (kind == ModelFault.Kind.WIPE) {
            world.wipe(node);
        } else {
            world.kill(node);
        }
        waitingForThaw.remove(node.slot);
        diskFreeMs.remove(node.slot);
        int life = node.life;
        in(fault.forMs(), () -> {
            if (node.life == life && !node.up() && !node.removed) {
                world.start(node, false);
                beatOn(node);
                connectSoon(node);
            }
        });
    }

    private void connectSoon(ModelNode node) {
        int life = node.life;
        in(ModelWorld.INTRODUCTION_MS - RECONNECT_MS, () -> {
            if (node.life == life) {
                present().forEach(other -> world.connect(other, node));
            }
        });
    }

    private void freeze(ModelNode node, long forMs) {
        if (!node.running()) {
            return;
        }
        world.freeze(node);
        int life = node.life;
        in(forMs, () -> {
            if (node.life == life && node.frozen) {
                world.thaw(node);
                List<ModelWorld.Envelope> waiting = waitingForThaw.remove(node.slot);
                if (waiting != null) {
                    waiting.forEach(this::deliver);
                }
            }
        });
    }

    private void cutAround(ModelNode node, boolean outwards, boolean inwards, ModelFault fault) {
        for (ModelNode other : present()) {
            if (other != node && outwards) {
                cut(node, other, fault.forMs(), fault.kind() == ModelFault.Kind.CUT_HELD);
            }
            if (other != node && inwards) {
                cut(other, node, fault.forMs(), fault.kind() == ModelFault.Kind.CUT_HELD);
            }
        }
    }

    private void cut(ModelNode from, ModelNode to, long forMs, boolean held) {
        long link = (long) from.slot << 32 | to.slot;
        world.cut(from, to);
        if (held) {
            heldLinks.add(link);
        }
        in(forMs, () -> {
            world.heal(from, to);
            if (!world.isCut(from, to)) {
                heldLinks.remove(link);
                release(link);
                in(RECONNECT_MS, () -> world.connect(from, to));
            }
        });
    }

    private void release(long link) {
        List<HeldUp> due = waitingForLink.stream()
                .filter(held -> link(held.envelope()) == link)
                .toList();
        waitingForLink.removeAll(due);
        for (HeldUp held : due) {
            if (world.nowMs - held.sinceMs() < HELD_UP_MS) {
                deliver(held.envelope());
            }
        }
    }

    private void crashVoter(ModelNode voter, ModelNode proposer, ModelFault fault) {
        cutAround(proposer, true, false, fault);
        if (voter.up()) {
            stop(
                    voter,
                    ModelFault.Kind.KILL,
                    new ModelFault(fault.atMs(), ModelFault.Kind.KILL, voter.slot, 0, VOTER_RESTART_MS, 0));
        }
    }

    private void wipeAcknowledged(ModelFault fault) {
        for (ModelNode node : present()) {
            if ((fault.detail() >> node.slot & 1) == 1) {
                stop(node, ModelFault.Kind.WIPE, fault);
            } else if (fault.other() == 1) {
                stop(
                        node,
                        ModelFault.Kind.POWER,
                        new ModelFault(fault.atMs(), ModelFault.Kind.POWER, node.slot, 0, fault.forMs(), 0));
            }
        }
    }
}
