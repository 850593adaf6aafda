package ringspindle.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.consensus.Connectivity;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Nodes, disks and links around real machines. It makes no choice: a {@link Driver} decides when a message is delivered, a
 * write synced, a process killed. Model time moves only when the driver says so.
 */
final class ModelWorld {
    /** A silent peer is noticed after this long. */
    static final long DETECTION_MS = 900;
    /** A new peer is noticed after this long. */
    static final long INTRODUCTION_MS = 200;

    /** A message under way between two lives. */
    record Envelope(long number, ModelNode from, ModelNode to, int toLife, byte[] bytes) {
        @Override
        public String toString() {
            return from + ">" + to + " " + Codec.decode(bytes).getClass().getSimpleName();
        }
    }

    /** Receives what machines ask for. */
    interface Driver {
        /** A machine sends; the driver delivers, drops, holds or duplicates. */
        void sent(Envelope envelope);

        /** A machine writes; the driver calls {@link ModelWorld#sync} later. */
        void writing(ModelNode node);

        /** A call was answered at the node it came in at. */
        void answered(ModelNode node, ReplicatedState.Output.Answer answer);
    }

    private final ModelFactory factory;
    private final int lost;
    private final long seed;
    private final Driver driver;
    final ModelMonitor monitor;
    final Map<Integer, ModelNode> nodes = new TreeMap<>();
    private final Map<NodeId, ModelNode> byId = new TreeMap<>();
    private final List<NodeId> seeds = new ArrayList<>();
    private final Map<Long, Long> cutSinceMs = new HashMap<>();
    private final Map<Long, Integer> cuts = new HashMap<>();
    private long envelopes;
    long steps;
    long nowMs;

    /**
     * {@code new ModelWorld(ModelFactory.REAL, 3, 1, 7, driver)}: three nodes of which one may be lost at once.
     */
    ModelWorld(ModelFactory factory, int size, int lost, long seed, Driver driver) {
        this.factory = factory;
        this.lost = lost;
        this.seed = seed;
        this.driver = driver;
        this.monitor = new ModelMonitor(this, lost);
        for (int slot = 0; slot < size; slot++) {
            seeds.add(address(slot));
        }
        for (int slot = 0; slot < size; slot++) {
            add(slot, true);
        }
    }

    /** Addresses of old and new nodes mix, as on real machines. */
    static NodeId address(int slot) {
        return NodeId.of("10.0." + slot * 7 % 11 + "." + (slot + 1) + ":7000");
    }

    // ---- processes

    /** Adds a node with an empty disk and starts it. */
    void add(int slot, boolean bootstrap) {
        ModelNode node = new ModelNode(slot, address(slot));
        nodes.put(slot, node);
        byId.put(node.id, node);
        start(node, bootstrap);
    }

    /** Starts the process on what is on its disk. */
    void start(ModelNode node, boolean bootstrap) {
        node.life++;
        node.version++;
        node.chain = create(node, node.disk, bootstrap, node.life);
        node.reachableSinceMs = nowMs;
        node.committedSeq = -1;
    }

    private ReplicatedState create(ModelNode node, List<Message> disk, boolean bootstrap, long life) {
        long luck = ModelRandom.mix(seed, node.slot, life);
        return factory.create(node.id, seeds, bootstrap, List.copyOf(disk), luck, 2 * lost + 1);
    }

    /** The process dies; the disk holds what was synced. */
    void kill(ModelNode node) {
        node.writes.clear();
        node.version++;
        node.chain = null;
        node.frozen = false;
        node.life++;
        node.unreachableSinceMs = nowMs;
    }

    /** Power is lost; a prefix of what was being written survives. */
    void losePower(ModelNode node, int whole, int records) {
        node.tearWrites(whole, records);
        kill(node);
    }

    /** The process dies and its disk is empty. */
    void wipe(ModelNode node) {
        kill(node);
        node.lostDisk = node.disk;
        node.diskLostMs = nowMs;
        node.disk = new ArrayList<>();
    }

    /** The machine is gone for good. */
    void remove(ModelNode node) {
        wipe(node);
        node.removed = true;
    }

    void freeze(ModelNode node) {
        node.version++;
        node.frozen = true;
        node.unreachableSinceMs = nowMs;
    }

    void thaw(ModelNode node) {
        node.version++;
        node.frozen = false;
        node.reachableSinceMs = nowMs;
    }

    // ---- links

    private static long link(ModelNode from, ModelNode to) {
        return (long) from.slot << 32 | to.slot;
    }

    void cut(ModelNode from, ModelNode to) {
        if (cuts.merge(link(from, to), 1, Integer::sum) == 1) {
            cutSinceMs.put(link(from, to), nowMs);
        }
    }

    void heal(ModelNode from, ModelNode to) {
        if (cuts.merge(link(from, to), -1, Integer::sum) == 0) {
            cutSinceMs.remove(link(from, to));
        }
    }

    boolean isCut(ModelNode from, ModelNode to) {
        return cutSinceMs.containsKey(link(from, to));
    }

    private boolean noticedCut(ModelNode from, ModelNode to) {
        Long since = cutSinceMs.get(link(from, to));
        return since != null && nowMs - since >= DETECTION_MS;
    }

    private boolean seemsUp(ModelNode node) {
        if (node.running()) {
            return nowMs - node.reachableSinceMs >= INTRODUCTION_MS;
        }
        return node.up() && nowMs - node.unreachableSinceMs < DETECTION_MS;
    }

    /** In touch as heartbeats would tell, with the delay of their timeouts. */
    boolean linked(ModelNode a, ModelNode b) {
        return seemsUp(a) && seemsUp(b) && !noticedCut(a, b) && !noticedCut(b, a);
    }

    // ---- steps

    void tick(ModelNode node) {
        step(node, () -> node.chain.tick(nowMs, new ModelReach(node)));
    }

    void deliver(Envelope envelope) {
        ModelNode to = envelope.to();
        step(to, () -> to.chain.receive(envelope.from().id, Codec.decode(envelope.bytes()), nowMs));
    }

    /** True if the receiver still lives in the life that the message was sent to. */
    boolean arrives(Envelope envelope) {
        return envelope.to().up() && envelope.to().life == envelope.toLife();
    }

    void sync(ModelNode node) {
        long token = node.syncFirst().token();
        step(node, () -> node.chain.recordsSynced(token, nowMs));
    }

    void call(ModelNode node, Call call) {
        step(node, () -> node.chain.call(call, nowMs));
    }

    /** Both sides learn of a new connection. */
    void connect(ModelNode a, ModelNode b) {
        if (a != b && a.running() && b.running() && !isCut(a, b) && !isCut(b, a)) {
            step(a, () -> a.chain.connectionOpened(b.id, nowMs));
            step(b, () -> b.chain.connectionOpened(a.id, nowMs));
        }
    }

    private interface Input {
        List<ReplicatedState.Output> apply();
    }

    private void step(ModelNode node, Input input) {
        steps++;
        node.version++;
        List<ReplicatedState.Output> outs;
        try {
            outs = input.apply();
        } catch (RuntimeException e) {
            monitor.report(ModelViolation.Kind.EXCEPTION, node + " " + e);
            return;
        }
        for (ReplicatedState.Output out : outs) {
            carryOut(node, out);
        }
        monitor.checkView(node);
    }

    private void carryOut(ModelNode node, ReplicatedState.Output out) {
        if (out instanceof ReplicatedState.Output.Send send) {
            ModelNode to = byId.get(send.to());
            if (to != null) {
                driver.sent(new Envelope(envelopes++, node, to, to.life, Codec.encode(send.message())));
            }
        } else if (out instanceof ReplicatedState.Output.Store store) {
            node.writes.add(store);
            driver.writing(node);
        } else if (out instanceof ReplicatedState.Output.Answer answer) {
            driver.answered(node, answer);
        } else if (out instanceof ReplicatedState.Output.Committed committed) {
            monitor.checkCommitted(node, committed.state());
        }
    }

    /** What a machine would know that started from this disk now. */
    Message.State stateOnDisk(ModelNode node, List<Message> disk) {
        for (Message record : create(node, disk, false, 0).durableRecords()) {
            if (record instanceof Message.State state) {
                return state;
            }
        }
        throw new IllegalStateException("no state among the durable records");
    }

    /** The newest view that any running machine knows, or null. */
    View newestView() {
        View newest = null;
        for (ModelNode node : nodes.values()) {
            View view = node.up() ? node.chain.view() : null;
            if (view != null && (newest == null || view.epoch() > newest.epoch())) {
                newest = view;
            }
        }
        return newest;
    }

    ModelNode node(NodeId id) {
        return byId.get(id);
    }

    /** Where every node stands, for whoever reads a failure. */
    String standing() {
        StringBuilder text = new StringBuilder();
        for (ModelNode node : nodes.values()) {
            text.append("\n  ")
                    .append(node)
                    .append(node.removed ? " removed" : node.frozen ? " frozen" : "")
                    .append(' ')
                    .append(node.id)
                    .append(' ')
                    .append(ModelTamper.standing(node.chain));
        }
        return text.toString();
    }

    /** What a node knows of the others. */
    private final class ModelReach implements Connectivity {
        private final ModelNode self;

        ModelReach(ModelNode self) {
            this.self = self;
        }

        @Override
        public boolean connected(NodeId a, NodeId b) {
            return a.equals(b)
                    || byId.containsKey(a) && byId.containsKey(b) && ModelWorld.this.linked(byId.get(a), byId.get(b));
        }

        @Override
        public Collection<NodeId> liveNodes() {
            List<NodeId> live = new ArrayList<>();
            for (ModelNode other : nodes.values()) {
                if (other != self && ModelWorld.this.linked(self, other)) {
                    live.add(other.id);
                }
            }
            return live;
        }

        @Override
        public String failureDomain(NodeId node) {
            return Integer.toString(byId.get(node).slot % 3);
        }

        @Override
        public boolean leaving(NodeId node) {
            return byId.get(node).leaving;
        }

        @Override
        public boolean relearning(NodeId node) {
            ReplicatedState chain = byId.get(node).chain;
            return chain != null && chain.relearning();
        }
    }
}
