package ringspindle.shard;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ShardMessage.LogEntry;
import ringspindle.protocol.ShardMessage.ShardAck;
import ringspindle.protocol.ShardMessage.ShardAppend;
import ringspindle.protocol.ShardMessage.ShardEntry;
import ringspindle.protocol.ShardMessage.ShardPromise;

/**
 * One shard over simulated storage nodes: disks that sync late, links that delay and are cut, processes that are killed, machines
 * that lose power or their disks, and a planner that sees them late. Keeps the history: what leaders have acknowledged. The same
 * seed plays the same world.
 */
final class ShardWorld {
    /** What goes wrong on purpose, to see that the history shows it. */
    enum Fault {
        NONE,
        /** Nodes answer before their disks have what they were sent. */
        ACK_BEFORE_SYNC,
        /** A learner is made the leader, whatever it holds. */
        LEARNER_LEADS,
        /** An entry is on fewer disks than may be lost. */
        TOO_FEW_COPIES
    }

    static final int STEP_MS = 10;
    private static final int NODES = 7;
    private static final int COPIES = 3;
    private static final int PLAN_STEPS = 20;
    private static final int BACK_STEPS = 600;

    private record InFlight(NodeId from, NodeId to, Message message, long dueMs) {}

    private record Unsynced(Message record, long token, long dueMs) {}

    /** A storage node with its disk. */
    private final class Node {
        final NodeId id;
        final List<Message> disk = new ArrayList<>();
        final Deque<Unsynced> unsynced = new ArrayDeque<>();
        long store;
        long boot;
        ShardReplica replica;
        long upAtMs;
        boolean cutOff;

        Node(int number) {
            id = NodeId.of("10.0.0." + number + ":7002");
            store = random.nextLong();
            start();
        }

        void start() {
            boot++;
            unsynced.clear();
            replica = new ShardReplica(0, id, store, boot, copies);
            long committed = 0;
            for (Message record : disk) {
                if (record instanceof ShardEntry entry) {
                    replica.restore(entry);
                    committed = Math.max(committed, entry.committed());
                } else if (record instanceof ShardPromise promise) {
                    replica.restore(promise);
                    committed = Math.max(committed, promise.committed());
                }
            }
            replica.restoreCommitted(committed).forEach(entry -> learnt(this, entry));
        }

        boolean isUp() {
            return nowMs >= upAtMs;
        }
    }

    private final Random random;
    private final Fault fault;
    private final Map<NodeId, Node> nodes = new TreeMap<>();
    private final List<InFlight> network = new ArrayList<>();
    private final Map<NodeId, Long> busyUntilMs = new TreeMap<>();
    private final int copies;
    private final PlacementPlanner planner;
    private final Map<Long, String> committed = new LinkedHashMap<>();
    private final Map<Long, String> acknowledged = new TreeMap<>();
    private final Set<String> violations = new HashSet<>();
    private ShardAssignment assignment;
    private long nowMs;
    private int proposals;

    ShardWorld(long seed, Fault fault) {
        random = new Random(seed);
        this.fault = fault;
        copies = fault == Fault.TOO_FEW_COPIES ? 1 : COPIES;
        planner = new PlacementPlanner(copies);
        for (int number = 1; number <= NODES; number++) {
            Node node = new Node(number);
            nodes.put(node.id, node);
        }
    }

    /** Lets so many steps pass, with faults if these are wanted. */
    void run(int steps, boolean faults) {
        for (int step = 0; step < steps; step++) {
            nowMs += STEP_MS;
            if (faults && random.nextInt(60) == 0) {
                disturb();
            }
            nodes.values().forEach(this::pass);
            deliver();
            if (step % PLAN_STEPS == 0) {
                plan();
            }
            if (random.nextInt(3) == 0) {
                propose();
            }
        }
    }

    /** Ends all cuts and lets all nodes come back. */
    void heal() {
        nodes.values().forEach(node -> node.cutOff = false);
        run(BACK_STEPS, false);
    }

    /** As many nodes at a time as disks may be lost, back for a while before the next are hit. */
    private void disturb() {
        List<Node> all = new ArrayList<>(nodes.values());
        long lost = all.stream()
                .filter(node -> node.cutOff || nowMs < node.upAtMs + BACK_STEPS * STEP_MS && node.upAtMs > 0)
                .count();
        Node node = all.get(random.nextInt(all.size()));
        if (node.cutOff) {
            node.cutOff = false;
            node.upAtMs = Math.max(node.upAtMs, 1);
        } else if (lost < COPIES - 1 && node.isUp()) {
            hit(node, random.nextInt(4));
        }
    }

    private void hit(Node node, int how) {
        switch (how) {
            case 0 -> node.cutOff = true;
            case 1 -> {
                node.disk.clear();
                node.store = random.nextLong();
                node.boot = 0;
                restart(node);
            }
            default -> restart(node);
        }
    }

    private void restart(Node node) {
        node.upAtMs = nowMs + 300 + random.nextInt(2500);
        network.removeIf(each -> each.from().equals(node.id) || each.to().equals(node.id));
        node.start();
    }

    /** Whole lost power: what was not synced is gone everywhere. */
    void powerOff() {
        nodes.values().forEach(this::restart);
    }

    private void pass(Node node) {
        if (!node.isUp()) {
            return;
        }
        long token = 0;
        while (!node.unsynced.isEmpty() && node.unsynced.peek().dueMs() <= nowMs) {
            Unsynced synced = node.unsynced.poll();
            node.disk.add(synced.record());
            token = synced.token();
        }
        if (token > 0) {
            carryOut(node, node.replica.stored(token, nowMs));
        }
        if (assignment != null && !node.cutOff && random.nextInt(10) == 0) {
            carryOut(node, node.replica.assign(assignment, nowMs));
        }
        carryOut(node, node.replica.tick(nowMs));
    }

    private void carryOut(Node node, List<ReplicaOutput> outputs) {
        for (ReplicaOutput output : outputs) {
            if (output instanceof ReplicaOutput.Send send) {
                send(node.id, send.to(), send.message());
            } else if (output instanceof ReplicaOutput.Store store) {
                node.unsynced.add(new Unsynced(store.record(), store.token(), nowMs + random.nextInt(60)));
            } else if (output instanceof ReplicaOutput.Committed entry) {
                learnt(node, entry.entry());
                if (node.replica.isLeader()) {
                    acknowledged.put(entry.entry().seq(), text(entry.entry()));
                }
            }
        }
        if (fault == Fault.ACK_BEFORE_SYNC && !node.unsynced.isEmpty()) {
            long last = node.unsynced.peekLast().token();
            List<ReplicaOutput> early = node.replica.stored(last, nowMs);
            if (!early.isEmpty()) {
                carryOut(node, early);
            }
        }
    }

    private static String text(LogEntry entry) {
        return new String(entry.record(), UTF_8);
    }

    /** Whoever learns that an entry is committed must learn of the same one. */
    private void learnt(Node node, LogEntry entry) {
        String before = committed.putIfAbsent(entry.seq(), text(entry));
        if (before != null && !before.equals(text(entry))) {
            violations.add("entry " + entry.seq() + " is " + before + " and " + text(entry) + " at " + node.id);
        }
    }

    /** Messages of a link stay in order; a cut one keeps nothing. */
    private void send(NodeId from, NodeId to, Message message) {
        if (nodes.get(from).cutOff != nodes.get(to).cutOff || !nodes.get(to).isUp()) {
            return;
        }
        long due = Math.max(nowMs + 1 + random.nextInt(30), busyUntilMs.getOrDefault(to, 0L));
        busyUntilMs.put(to, due);
        network.add(new InFlight(from, to, message, due));
    }

    private void deliver() {
        List<InFlight> due =
                network.stream().filter(each -> each.dueMs() <= nowMs).toList();
        network.removeAll(due);
        for (InFlight each : due) {
            Node node = nodes.get(each.to());
            if (!node.isUp()) {
                continue;
            }
            if (each.message() instanceof ShardAppend append) {
                carryOut(node, node.replica.receive(each.from(), append, nowMs));
            } else if (each.message() instanceof ShardAck ack) {
                carryOut(node, node.replica.receive(each.from(), ack, nowMs));
            }
        }
    }

    private void plan() {
        Map<NodeId, StorageNodeStatus> inTouch = new TreeMap<>();
        for (Node node : nodes.values()) {
            if (node.isUp() && !node.cutOff) {
                String zone = "z" + node.id.ip().charAt(node.id.ip().length() - 1);
                inTouch.put(
                        node.id,
                        new StorageNodeStatus(
                                node.id, zone, node.store, node.boot, false, node.replica.standings(nowMs)));
            }
        }
        planner.observe(inTouch, assignment == null ? List.of() : List.of(assignment), nowMs);
        Optional<ShardAssignment> next = planner.next(0, assignment, inTouch, nowMs);
        next.ifPresent(planned -> assignment = fault == Fault.LEARNER_LEADS ? ledByLearner(planned, inTouch) : planned);
    }

    private static ShardAssignment ledByLearner(ShardAssignment planned, Map<NodeId, StorageNodeStatus> inTouch) {
        if (planned.learners().isEmpty()) {
            return planned;
        }
        ShardMember learner = planned.learners().get(0);
        List<ShardMember> members = new ArrayList<>(planned.members());
        members.add(learner);
        return new ShardAssignment(
                planned.shard(),
                planned.epoch(),
                learner,
                inTouch.get(learner.node()).boot(),
                members,
                List.of());
    }

    private void propose() {
        nodes.values().stream()
                .filter(node -> node.isUp() && node.replica.leads())
                .forEach(node -> carryOut(node, node.replica.propose(("p" + ++proposals).getBytes(UTF_8), nowMs)));
    }

    /** What breaks the promise of the log: entries that differ, or that were acknowledged and are gone. */
    Set<String> violations() {
        Set<String> found = new HashSet<>(violations);
        List<Node> leaders = nodes.values().stream()
                .filter(node -> node.replica.leads() && node.replica.epoch() == assignment.epoch())
                .toList();
        if (leaders.size() != 1) {
            found.add("leaders: " + leaders.size());
            return found;
        }
        Map<Long, String> kept = new TreeMap<>();
        ShardReplica reread = leaders.get(0).replica;
        reread.entries().forEach(entry -> kept.put(entry.seq(), text(entry)));
        acknowledged.forEach((seq, text) -> {
            if (!text.equals(kept.get(seq))) {
                found.add("acknowledged " + seq + " " + text + " is " + kept.get(seq));
            }
        });
        return found;
    }

    int acknowledged() {
        return acknowledged.size();
    }

    long epoch() {
        return assignment.epoch();
    }
}
