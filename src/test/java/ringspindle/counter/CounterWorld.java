package ringspindle.counter;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import ringspindle.api.Outcome;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** Six nodes in three regions with disks, links and clients, in simulated time; all chance comes from the seed. */
final class CounterWorld {
    static final int NODES = 6;
    static final int LOSSES = 2;
    private static final int TICK_MS = 100;
    private static final double SYNC_MS = 2;
    private static final double SILENCE_MS = 1000;
    private static final int TRIES = 6;
    /** The bound of the users' deployments: so long after all trouble every node knows everything. */
    private static final int MERGE_MS = 3000;

    private static final int READ_EVERY = 4;

    /** What is planted into the code under test, to see that the history shows it. */
    record Planted(
            int copies, boolean freshDiskTells, long retentionMs, UnaryOperator<Message> rewrite, boolean early) {
        static final Planted NOTHING =
                new Planted(LOSSES + 1, false, CounterSettings.RETENTION_MS, UnaryOperator.identity(), false);
    }

    /** One node: its process, if it runs, and its disk. */
    private final class Node {
        final int index;
        final NodeId id;
        final List<Message> disk = new ArrayList<>();
        final ArrayDeque<CounterReplica.Out.Store> writes = new ArrayDeque<>();
        final Map<Long, Consumer<Outcome>> callers = new HashMap<>();
        CounterReplica replica;
        int life;
        long calls;
        boolean bootstrap = true;
        boolean diskStalled;
        boolean frozen;

        Node(int index) {
            this.index = index;
            id = NodeId.of("10.0.0." + (index + 1) + ":7000");
        }

        void start() {
            life++;
            CounterSettings settings = new CounterSettings(
                    planted.copies(),
                    bootstrap || planted.freshDiskTells() && disk.isEmpty(),
                    planted.retentionMs(),
                    CounterSettings.INSTANCES_MAX,
                    CounterSettings.COUNTERS_MAX);
            replica = new CounterReplica(id, settings, List.copyOf(disk), random.nextLong() | 1, steadyMs());
            bootstrap = false;
            carryOut(replica.open(steadyMs()));
        }

        void stop() {
            replica = null;
            writes.clear();
            callers.clear();
            network.closeAll(index);
        }

        void carryOut(List<CounterReplica.Out> outputs) {
            for (CounterReplica.Out output : outputs) {
                if (output instanceof CounterReplica.Out.Send send) {
                    send(send);
                } else if (output instanceof CounterReplica.Out.Store store) {
                    writes.add(store);
                    if (planted.early()) {
                        at(0, () -> ifRunning(life, () -> carryOut(replica.stored(store.token(), steadyMs()))));
                    }
                    if (writes.size() == 1) {
                        int lifeThen = life;
                        at(SYNC_MS, () -> ifRunning(lifeThen, this::sync));
                    }
                } else if (output instanceof CounterReplica.Out.Answer answer) {
                    callers.remove(answer.call()).accept(answer.outcome());
                }
            }
        }

        void ifRunning(int lifeThen, Runnable action) {
            if (replica != null && life == lifeThen) {
                action.run();
            }
        }

        void sync() {
            int lifeThen = life;
            if (diskStalled || frozen) {
                at(TICK_MS, () -> ifRunning(lifeThen, this::sync));
                return;
            }
            CounterReplica.Out.Store store = writes.poll();
            if (store.snapshot()) {
                disk.clear();
            }
            disk.addAll(store.records());
            if (!planted.early()) {
                carryOut(replica.stored(store.token(), steadyMs()));
            }
            if (!writes.isEmpty()) {
                at(SYNC_MS, () -> ifRunning(lifeThen, this::sync));
            }
        }

        private void send(CounterReplica.Out.Send send) {
            int to = indexOf(send.to());
            int connection = network.connection(index, to);
            if (connection != 0) {
                Message message = planted.rewrite().apply(send.message());
                deliver(to, connection, message, nowMs() + delayMs(index, to));
            }
        }

        /** A cut holds messages up; they are lost with their connection. */
        private void deliver(int to, int connection, Message message, double dueMs) {
            at(dueMs - nowMs(), () -> {
                Node receiver = nodes[to];
                if (network.connection(index, to) != connection || receiver.replica == null) {
                    return;
                }
                if (network.passes(index, to) && !receiver.frozen) {
                    receiver.carryOut(receiver.replica.receive(id, message, steadyMs()));
                } else {
                    deliver(to, connection, message, nowMs() + TICK_MS);
                }
            });
        }

        void tick() {
            if (replica == null || frozen) {
                return;
            }
            Set<NodeId> linked = new TreeSet<>();
            for (Node other : nodes) {
                if (other.index != index && !other.frozen && network.inTouch(index, other.index, nowMs())) {
                    linked.add(other.id);
                }
            }
            carryOut(replica.tick(linked, members(), steadyMs()));
            if (random.nextInt(READ_EVERY) == 0) {
                history.read(index, life, replica, nowMs());
            }
        }
    }

    final Random random;
    final CounterHistory history = new CounterHistory();
    final CounterNetwork network = new CounterNetwork(NODES);
    private final Planted planted;
    private final Node[] nodes = new Node[NODES];
    private final EventQueue events = new EventQueue();
    private double troubleMs;
    private boolean wipeAfterAcknowledgement;
    private double partitionMs = Double.MAX_VALUE;

    CounterWorld(long seed, Planted planted) {
        random = new Random(seed);
        this.planted = planted;
        for (int i = 0; i < NODES; i++) {
            nodes[i] = new Node(i);
        }
        for (Node node : nodes) {
            node.start();
        }
        everyTick();
        clients();
    }

    private void at(double inMs, Runnable action) {
        events.at(inMs, action);
    }

    /** Runs for so long. */
    void run(double forMs) {
        events.run(forMs);
    }

    private double nowMs() {
        return events.nowMs();
    }

    private long steadyMs() {
        return (long) events.nowMs();
    }

    private static Set<NodeId> members() {
        Set<NodeId> members = new TreeSet<>();
        for (int i = 0; i < NODES; i++) {
            members.add(NodeId.of("10.0.0." + (i + 1) + ":7000"));
        }
        return members;
    }

    private int indexOf(NodeId id) {
        for (Node node : nodes) {
            if (node.id.equals(id)) {
                return node.index;
            }
        }
        throw new IllegalArgumentException(id.toString());
    }

    static int region(int node) {
        return node % 3;
    }

    private double delayMs(int from, int to) {
        return region(from) == region(to) ? 1 : 35;
    }

    private void everyTick() {
        at(TICK_MS, this::everyTick);
        network.tick(nowMs());
        for (Node one : nodes) {
            for (Node other : nodes) {
                connect(one, other);
            }
        }
        for (Node node : nodes) {
            node.tick();
        }
        judgeCalm();
    }

    private void connect(Node one, Node other) {
        boolean running = one.replica != null && other.replica != null && !one.frozen && !other.frozen;
        if (one.index >= other.index || !running || !network.dial(one.index, other.index, nowMs())) {
            return;
        }
        int connection = network.connection(one.index, other.index);
        one.replica.connected(other.id);
        other.replica.connected(one.id);
        at(delayMs(one.index, other.index), () -> {
            if (network.connection(one.index, other.index) == connection) {
                one.carryOut(one.replica.introduced(other.id, steadyMs()));
                other.carryOut(other.replica.introduced(one.id, steadyMs()));
            }
        });
    }

    /** Three seconds after all trouble every node knows all that was acknowledged a second ago. */
    private void judgeCalm() {
        boolean calm = network.whole();
        for (Node node : nodes) {
            calm &= node.replica != null && !node.frozen && !node.diskStalled;
        }
        if (!calm) {
            troubleMs = nowMs();
        } else if (nowMs() - troubleMs > MERGE_MS) {
            for (Node node : nodes) {
                if (random.nextInt(READ_EVERY) != 0) {
                    continue;
                }
                history.readAfterCalm(node.index, node.replica, nowMs(), nowMs() - 1000);
            }
        }
    }

    // ---- clients

    private void clients() {
        at(10 + random.nextInt(60), this::clients);
        call(history.newId(), random.nextInt(NODES), TRIES);
    }

    /** A client goes on to another node after a failure or a second of silence, and at times though it was answered. */
    private void call(int id, int to, int tries) {
        Node node = nodes[to];
        boolean[] answered = {false};
        Runnable again = () -> {
            if (!answered[0]) {
                answered[0] = true;
                if (tries > 1) {
                    call(id, random.nextInt(NODES), tries - 1);
                }
            }
        };
        if (node.replica == null || node.frozen) {
            at(50, again);
            return;
        }
        at(SILENCE_MS, again);
        long call = ++node.calls;
        int life = node.life;
        // until the answer is known the increment may count
        boolean[] notDone = {false};
        node.callers.put(call, outcome -> {
            notDone[0] = outcome.notRun();
            if (outcome == Outcome.TAKEN) {
                history.acknowledged(id, to, life, nowMs(), nowMs() >= partitionMs);
                wipeAfterAcknowledgement(to);
                answered[0] = answered[0] || random.nextInt(20) != 0;
            } else {
                at(20, again);
            }
        });
        node.carryOut(
                node.replica.add(call, CounterHistory.counter(id), "i" + id, CounterHistory.amount(id), steadyMs()));
        if (!notDone[0]) {
            history.mayCount(id);
        }
    }

    // ---- trouble

    /** Cuts links; all that stands between is healed by {@link #heal}. */
    void cut(BiPredicate<Integer, Integer> directions) {
        network.cut(directions);
        partitionMs = Math.min(partitionMs, nowMs());
    }

    /** All links work again; what was acknowledged meanwhile is spread within {@code mergeMs}. */
    void heal() {
        network.cut((from, to) -> false);
        double healedMs = nowMs();
        at(MERGE_MS, () -> {
            if (network.whole() && troubleMs <= healedMs + 1) {
                partitionMs = Double.MAX_VALUE;
            }
        });
    }

    void kill(int node, double downMs) {
        nodes[node].stop();
        at(downMs, () -> {
            if (nodes[node].replica == null) {
                nodes[node].start();
            }
        });
    }

    void wipe(int node, double downMs) {
        history.wiped(node, partitionMs);
        nodes[node].stop();
        nodes[node].disk.clear();
        at(downMs, () -> {
            if (nodes[node].replica == null) {
                nodes[node].start();
            }
        });
    }

    void freeze(int node, double forMs) {
        nodes[node].frozen = true;
        at(forMs, () -> nodes[node].frozen = false);
    }

    /** The next node to acknowledge something loses its disk right then, and some other node with it. */
    void wipeAfterNextAcknowledgement() {
        wipeAfterAcknowledgement = true;
    }

    private void wipeAfterAcknowledgement(int node) {
        if (!wipeAfterAcknowledgement) {
            return;
        }
        wipeAfterAcknowledgement = false;
        at(0, () -> {
            wipe(node, 1000);
            wipe((node + 1 + random.nextInt(NODES - 1)) % NODES, 1500);
        });
    }

    /** All processes are killed at the same moment; disks stay. */
    void killAll(double downMs) {
        for (Node node : nodes) {
            kill(node.index, downMs);
        }
    }

    void stallDisk(int node, double forMs) {
        nodes[node].diskStalled = true;
        at(forMs, () -> nodes[node].diskStalled = false);
    }

    boolean joined(int node) {
        return nodes[node].replica != null && nodes[node].replica.total("c0").isPresent();
    }
}
