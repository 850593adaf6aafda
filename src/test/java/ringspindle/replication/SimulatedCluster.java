package ringspindle.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import ringspindle.api.Outcome;
import ringspindle.consensus.Connectivity;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Nodes, disks, links and time around the real machines: delays are drawn from one random generator, time moves from event to
 * event. It decides on no fault and no order.
 */
final class SimulatedCluster {
    private static final long TICK_MS = 100;
    /** A node is in touch with others so long after its start. */
    private static final long INTRODUCTION_MS = 200;

    private static final long RECONNECT_MS = 50;
    private static final int LINK_DELAY_MS = 20;
    private static final int DISK_DELAY_MS = 8;

    /** Takes the answer to a call. */
    interface Answer {
        void answer(Outcome outcome, byte[] body);
    }

    private record Event(long atMs, long order, Runnable run) {}

    final Random random;
    final List<SimulatedNode> nodes = new ArrayList<>();
    private final Map<NodeId, SimulatedNode> byId = new TreeMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final Map<String, Long> cutUntilMs = new HashMap<>();
    private final Map<String, Long> lastDeliveryMs = new HashMap<>();
    private final Map<Long, Answer> answers = new HashMap<>();
    private final List<NodeId> seeds;
    private final int lost;
    private final SimulationHistory history;
    private long nowMs;
    private long eventOrder;
    private long calls;
    private int joined;

    /** Of {@code size} nodes the first {@code known} are seeds, the others join; {@code lost} may lose their disks at once. */
    SimulatedCluster(long seed, int size, int known, int lost, SimulationHistory history) {
        this.random = new Random(seed);
        this.lost = lost;
        this.history = history;
        List<NodeId> ids = new ArrayList<>();
        for (int i = 1; i <= size; i++) {
            // addresses of seeds and joiners mix, as on real machines
            ids.add(NodeId.of("10.0." + (i * 7 % size) + "." + i + ":7000"));
        }
        seeds = ids.subList(0, known);
        for (NodeId id : ids) {
            SimulatedNode node = new SimulatedNode(id);
            node.machine = machine(id, true, List.of());
            nodes.add(node);
            byId.put(id, node);
        }
    }

    private ChainReplicatedState machine(NodeId id, boolean bootstrap, List<Message> disk) {
        return new ChainReplicatedState(id, seeds, bootstrap, disk, random.nextLong(), 2 * lost + 1);
    }

    /** How many may lose their disks at once. */
    int lost() {
        return lost;
    }

    // ---- time

    long nowMs() {
        return nowMs;
    }

    void in(long delayMs, Runnable run) {
        events.add(new Event(nowMs + delayMs, eventOrder++, run));
    }

    void until(long endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.run().run();
        }
        nowMs = endMs;
    }

    void startTicking() {
        nodes.forEach(node -> tick(node, node.life));
    }

    private void tick(SimulatedNode node, int life) {
        if (node.life != life || !node.up()) {
            return;
        }
        if (!frozen(node)) {
            carryOut(node, node.machine.tick(nowMs, new SimulatedConnectivity(node)));
        }
        in(TICK_MS, () -> tick(node, life));
    }

    // ---- processes

    SimulatedNode node(NodeId id) {
        return byId.get(id);
    }

    SimulatedNode anyNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private boolean frozen(SimulatedNode node) {
        return node.frozenUntilMs > nowMs;
    }

    boolean running(SimulatedNode node) {
        return node.up() && !frozen(node);
    }

    void freeze(SimulatedNode node, long forMs) {
        node.frozenUntilMs = nowMs + forMs;
    }

    /** A new node with an empty disk at a new address, as a replacement is. */
    void join() {
        SimulatedNode node = new SimulatedNode(NodeId.of("10.1." + joined++ % 3 + "." + joined + ":7000"));
        byId.put(node.id, node);
        nodes.add(node);
        start(node);
    }

    void removeForGood(SimulatedNode node) {
        nodes.remove(node);
        node.end();
    }

    /** The process ends, its disk is lost if {@code wipe}, and it starts again after that time. */
    void crash(SimulatedNode node, boolean wipe, long forMs) {
        node.end();
        node.committedSeq = -1;
        node.frozenUntilMs = 0;
        if (wipe) {
            node.disk = new ArrayList<>();
        }
        int life = node.life;
        in(forMs, () -> {
            if (node.life == life && !node.up() && nodes.contains(node)) {
                start(node);
            }
        });
    }

    private void start(SimulatedNode node) {
        node.machine = machine(node.id, false, node.disk);
        node.startedMs = nowMs;
        node.diskFreeMs = nowMs;
        node.leaving = false;
        tick(node, node.life);
        in(INTRODUCTION_MS - RECONNECT_MS, () -> {
            for (SimulatedNode other : List.copyOf(nodes)) {
                if (other != node && other.up() && node.up()) {
                    connect(other, node);
                }
            }
        });
    }

    // ---- links

    private void connect(SimulatedNode one, SimulatedNode other) {
        carryOut(one, one.machine.connectionOpened(other.id, nowMs));
        carryOut(other, other.machine.connectionOpened(one.id, nowMs));
    }

    /** Nothing gets from one to the other for that time. */
    void cut(SimulatedNode from, SimulatedNode to, long forMs) {
        cutUntilMs.put(from.id + ">" + to.id, nowMs + forMs);
        in(forMs + RECONNECT_MS, () -> {
            if (from.up() && to.up() && !isCut(from.id, to.id) && !isCut(to.id, from.id)) {
                connect(from, to);
            }
        });
    }

    void healAll() {
        cutUntilMs.clear();
    }

    private boolean isCut(NodeId from, NodeId to) {
        return cutUntilMs.getOrDefault(from + ">" + to, -1L) > nowMs;
    }

    /** In touch as heartbeats would tell: no cut, and no fresh start. */
    private boolean linked(NodeId one, NodeId other) {
        SimulatedNode a = byId.get(one);
        SimulatedNode b = byId.get(other);
        if (a == null || b == null || !introduced(a) || !introduced(b)) {
            return false;
        }
        return !isCut(one, other) && !isCut(other, one) && !frozen(a) && !frozen(b);
    }

    private boolean introduced(SimulatedNode node) {
        return node.up() && nowMs - node.startedMs >= INTRODUCTION_MS;
    }

    private void send(SimulatedNode from, NodeId to, Message message) {
        if (isCut(from.id, to)) {
            return;
        }
        String link = from.id + ">" + to;
        long atMs = Math.max(lastDeliveryMs.getOrDefault(link, 0L), nowMs + 1 + random.nextInt(LINK_DELAY_MS));
        lastDeliveryMs.put(link, atMs);
        byte[] bytes = Codec.encode(message);
        SimulatedNode target = byId.get(to);
        int life = target.life;
        in(atMs - nowMs, () -> deliver(from.id, target, life, bytes));
    }

    private void deliver(NodeId from, SimulatedNode to, int life, byte[] bytes) {
        if (!to.up() || to.life != life || isCut(from, to.id)) {
            return;
        }
        if (frozen(to)) {
            in(to.frozenUntilMs - nowMs, () -> deliver(from, to, life, bytes));
            return;
        }
        carryOut(to, to.machine.receive(from, Codec.decode(bytes), nowMs));
    }

    // ---- calls

    /** A call through the node; its answer, if one comes. */
    long call(SimulatedNode via, CallKind kind, long base, String argument, byte[] body, Answer answer) {
        long id = ++calls;
        answers.put(id, answer);
        carryOut(via, via.machine.call(new Call(id, kind.code(), base, argument, body), nowMs));
        return id;
    }

    /** The caller waits no longer than that for the answer to its call. */
    void giveUpAfter(long id, long timeoutMs, Runnable then) {
        in(timeoutMs, () -> {
            if (answers.remove(id) != null) {
                then.run();
            }
        });
    }

    // ---- what machines ask for

    private void carryOut(SimulatedNode node, List<ReplicatedState.Output> outputs) {
        for (ReplicatedState.Output output : outputs) {
            if (output instanceof ReplicatedState.Output.Send send) {
                send(node, send.to(), send.message());
            } else if (output instanceof ReplicatedState.Output.Store store) {
                write(node, store);
            } else if (output instanceof ReplicatedState.Output.Answer answer) {
                Answer then = answers.remove(answer.call());
                if (then != null) {
                    then.answer(answer.outcome(), answer.body());
                }
            } else if (output instanceof ReplicatedState.Output.Committed committed) {
                noteCommitted(node, committed.state());
            }
        }
    }

    private void write(SimulatedNode node, ReplicatedState.Output.Store store) {
        int life = node.life;
        long readyMs = Math.max(Math.max(nowMs, node.diskFreeMs), node.stalledUntilMs);
        long syncedMs = readyMs + 1 + random.nextInt(DISK_DELAY_MS);
        node.diskFreeMs = syncedMs;
        in(syncedMs - nowMs, () -> synced(node, life, store));
    }

    private void synced(SimulatedNode node, int life, ReplicatedState.Output.Store store) {
        if (node.life != life || !node.up()) {
            return;
        }
        if (store.snapshot()) {
            node.disk = new ArrayList<>(store.records());
        } else {
            node.disk.addAll(store.records());
        }
        carryOut(node, node.machine.recordsSynced(store.token(), nowMs));
    }

    private void noteCommitted(SimulatedNode node, State state) {
        history.committed(state.seq(), state.revision());
        if (state.seq() < node.committedSeq) {
            history.wrong.add(node.id + " goes back from seq " + node.committedSeq + " to " + state.seq());
        }
        node.committedSeq = state.seq();
    }

    // ---- what tests ask

    /** The newest view that any node knows. */
    Optional<View> newestView() {
        return nodes.stream()
                .filter(node -> node.up() && node.machine.view() != null)
                .map(node -> node.machine.view())
                .max(Comparator.comparingLong(View::epoch));
    }

    /** Where every node stands, for whoever reads a failure. */
    String standing() {
        StringBuilder text = new StringBuilder();
        nodes.forEach(
                node -> text.append('\n').append(node.id).append(node.up() ? " " + node.machine.describe() : " down"));
        return text.toString();
    }

    /** What a node knows of the others. */
    private final class SimulatedConnectivity implements Connectivity {
        private final SimulatedNode self;

        SimulatedConnectivity(SimulatedNode self) {
            this.self = self;
        }

        @Override
        public boolean connected(NodeId one, NodeId other) {
            return one.equals(other) || SimulatedCluster.this.linked(one, other);
        }

        @Override
        public Collection<NodeId> liveNodes() {
            return nodes.stream()
                    .filter(other -> other != self && SimulatedCluster.this.linked(self.id, other.id))
                    .map(other -> other.id)
                    .toList();
        }

        @Override
        public boolean leaving(NodeId node) {
            return byId.get(node).leaving;
        }

        @Override
        public boolean relearning(NodeId node) {
            SimulatedNode peer = byId.get(node);
            return peer.up() && peer.machine.relearning();
        }

        @Override
        public String failureDomain(NodeId node) {
            return Long.toString((node.bits() >>> 24) % 3);
        }
    }
}
