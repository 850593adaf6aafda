package ringspindle.replication;

import ringspindle.replication.ModelExplorer.Deviation;

/** Carries out the deviations of a {@link ModelSearchRun}: faults, changes of members, and other orders of steps. */
final class ModelDeviations {
    /** A node counts as lost until four seconds after its fault. */
    private static final int RECOVERY_TICKS = 40;

    private static final int SUCCESSOR_TICKS = 10;
    private static final int LEAVES_TICKS = 30;
    private static final int ENDS_TICKS = 45;

    private final ModelSearchRun run;

    ModelDeviations(ModelSearchRun run) {
        this.run = run;
    }

    /** Does what the deviation says in place of the default step. */
    void apply(Deviation deviation) {
        ModelNode node = run.world.nodes.get(deviation.slot());
        switch (deviation.action()) {
            case KILL:
                stop(node, deviation, () -> run.world.kill(node));
                break;
            case POWER:
                stop(node, deviation, () -> run.world.losePower(node, 1, 0));
                break;
            case TEAR:
                stop(node, deviation, () -> run.world.losePower(node, 0, 1));
                break;
            case WIPE:
                stop(node, deviation, () -> run.world.wipe(node));
                break;
            case FREEZE:
                run.faulty.add(node.slot);
                run.world.freeze(node);
                run.inTicks(deviation.ticks(), deviation.action(), () -> {
                    run.world.thaw(node);
                    calmAgain(node);
                });
                break;
            case CUT:
                cut(node, deviation, true);
                break;
            case CUT_OUT:
                cut(node, deviation, false);
                break;
            case JOIN:
                join();
                break;
            case REPLACE:
                run.faulty.add(node.slot);
                join();
                run.inTicks(LEAVES_TICKS, "leaves" + node, () -> node.leaving = true);
                run.inTicks(ENDS_TICKS, "ends" + node, () -> remove(node));
                break;
            case LOSE_AND_REPLACE:
                run.faulty.add(node.slot);
                remove(node);
                run.inTicks(SUCCESSOR_TICKS, "successor", this::join);
                break;
            case DROP:
                run.messages.poll();
                break;
            case HOLD:
                ModelWorld.Envelope held = run.messages.poll();
                run.inTicks(deviation.ticks(), held.bytes(), () -> run.deliver(held));
                break;
            case DUPLICATE:
                ModelWorld.Envelope twice = run.messages.peek();
                run.inTicks(deviation.ticks(), twice.bytes(), () -> run.deliver(twice));
                break;
            case SYNC_FIRST:
                run.sync(run.writes.poll());
                break;
            default:
                run.passTime();
                break;
        }
    }

    private void stop(ModelNode node, Deviation deviation, Runnable ending) {
        run.faulty.add(node.slot);
        ending.run();
        run.writes.removeIf(n -> n == node);
        run.inTicks(deviation.ticks(), deviation.action(), () -> {
            run.world.start(node, false);
            run.inTicks(
                    2,
                    "connect" + node,
                    () -> run.world.nodes.values().forEach(other -> run.world.connect(other, node)));
            calmAgain(node);
        });
    }

    private void join() {
        int slot = run.world.nodes.size();
        run.world.add(slot, false);
        ModelNode node = run.world.nodes.get(slot);
        run.inTicks(
                2, "connect" + node, () -> run.world.nodes.values().forEach(other -> run.world.connect(other, node)));
    }

    private void remove(ModelNode node) {
        run.world.remove(node);
        run.writes.removeIf(n -> n == node);
        calmAgain(node);
    }

    private void cut(ModelNode node, Deviation deviation, boolean inwards) {
        run.faulty.add(node.slot);
        for (ModelNode other : run.world.nodes.values()) {
            if (other != node) {
                run.world.cut(node, other);
                if (inwards) {
                    run.world.cut(other, node);
                }
            }
        }
        run.inTicks(deviation.ticks(), deviation.action(), () -> {
            for (ModelNode other : run.world.nodes.values()) {
                if (other != node) {
                    run.world.heal(node, other);
                    if (inwards) {
                        run.world.heal(other, node);
                    }
                    run.world.connect(node, other);
                }
            }
            calmAgain(node);
        });
    }

    /** A node counts as lost until four seconds after its fault. */
    private void calmAgain(ModelNode node) {
        run.inTicks(RECOVERY_TICKS, "recovered" + node, () -> run.faulty.remove(node.slot));
    }
}
