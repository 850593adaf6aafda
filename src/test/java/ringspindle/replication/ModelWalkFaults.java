package ringspindle.replication;

import java.util.List;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;

/** Brings about the planned faults of a {@link ModelWalk}. */
final class ModelWalkFaults {
    private static final long VOTER_RESTART_MS = 200;
    private static final long RECONNECT_MS = 50;

    private final ModelWalk walk;
    private final ModelWorld world;
    private final ModelNetwork network;
    private final ModelDisks disks;
    /** The next voter that accepts a view is to crash, and its proposer to be cut off; null if none is. */
    private ModelFault voteCrash;

    ModelWalkFaults(ModelWalk walk, ModelNetwork network, ModelDisks disks) {
        this.walk = walk;
        this.world = walk.world;
        this.network = network;
        this.disks = disks;
    }

    /** Looks at what is sent, for a fault that waits for it. */
    void sent(ModelWorld.Envelope envelope) {
        if (voteCrash != null && Codec.decode(envelope.bytes()) instanceof Message.Accepted) {
            ModelFault fault = voteCrash;
            voteCrash = null;
            // not within the machine's own step
            walk.in(0, () -> crashVoter(envelope.from(), envelope.to(), fault));
        }
    }

    /** Brings the fault about, now. */
    void inflict(ModelFault fault) {
        switch (fault.kind()) {
            case NOISE:
                network.noise(fault.forMs(), fault.detail());
                break;
            case IMPATIENT:
                walk.impatientFor(fault.forMs());
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
                walk.afterAcknowledgement(() -> wipeAcknowledged(fault));
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
                    network.cut(node, other, fault.forMs(), fault.detail() == 1);
                }
                break;
            case DISK:
                disks.hang(node, fault.forMs());
                break;
            case REMOVE:
                world.remove(node);
                break;
            case REPLACE:
                join(fault.other());
                walk.in(ModelWalk.LEAVES_MS, () -> node.leaving = true);
                walk.in(ModelWalk.REPLACEMENT_ENDS_MS, () -> world.remove(node));
                break;
            case LOSE_AND_REPLACE:
                world.remove(node);
                walk.in(ModelWalk.SUCCESSOR_MS, () -> join(fault.other()));
                break;
            default:
                throw new IllegalStateException("no fault of one node: " + fault);
        }
    }

    private void join(int slot) {
        world.add(slot, false);
        ModelNode node = world.nodes.get(slot);
        walk.tickOn(node);
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
        network.ended(node);
        disks.processEnded(node);
        int life = node.life;
        walk.in(fault.forMs(), () -> {
            if (node.life == life && !node.up() && !node.removed) {
                world.start(node, false);
                walk.tickOn(node);
                connectSoon(node);
            }
        });
    }

    private void connectSoon(ModelNode node) {
        int life = node.life;
        walk.in(ModelWorld.INTRODUCTION_MS - RECONNECT_MS, () -> {
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
        walk.in(forMs, () -> {
            if (node.life == life && node.frozen) {
                world.thaw(node);
                network.thawed(node);
            }
        });
    }

    private void cutAround(ModelNode node, boolean outwards, boolean inwards, ModelFault fault) {
        for (ModelNode other : present()) {
            if (other != node && outwards) {
                network.cut(node, other, fault.forMs(), fault.kind() == ModelFault.Kind.CUT_HELD);
            }
            if (other != node && inwards) {
                network.cut(other, node, fault.forMs(), fault.kind() == ModelFault.Kind.CUT_HELD);
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
