package ringspindle.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.transport.NodeEnvironment;

/** Virtual time, and counted links between hollow nodes: every message goes through the real codec. */
public final class SimulatedNetwork {
    /** Where a link runs. */
    enum Reach {
        ZONE,
        ZONES,
        REGIONS
    }

    /** What one node sent and received, and the processor time of its calls. */
    static final class Meter {
        final long[] outBytes = new long[Reach.values().length];
        long inBytes;
        long outMessages;
        long inMessages;
        long cpuNs;

        long out() {
            return outBytes[0] + outBytes[1] + outBytes[2];
        }

        void reset() {
            Arrays.fill(outBytes, 0);
            inBytes = 0;
            outMessages = 0;
            inMessages = 0;
            cpuNs = 0;
        }
    }

    private record Event(double atMs, long order, Runnable run) {}

    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final int FRAME_BYTES = 4;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private final Map<NodeId, SimulatedMesh> meshes = new HashMap<>();
    final Map<NodeId, Meter> meters = new TreeMap<>();
    private final Random chance = new Random(1);
    private double nowMs = 1_000_000;
    private long order;

    long nowMs() {
        return (long) nowMs;
    }

    void at(double inMs, Runnable r) {
        events.add(new Event(nowMs + inMs, order++, r));
    }

    void runFor(double forMs) {
        double endMs = nowMs + forMs;
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event e = events.poll();
            nowMs = e.atMs();
            e.run().run();
        }
        nowMs = endMs;
    }

    /** Lets nodes and all that waits for them go. */
    void forgetData(List<NodeId> ids) {
        events.clear();
        ids.forEach(meshes::remove);
    }

    private final Map<NodeId, Double> frozenUntilMs = new HashMap<>();
    private final Map<String, Double> cutUntilMs = new HashMap<>();

    /** True while a node does not run. */
    boolean down(NodeId id) {
        return frozenUntilMs.getOrDefault(id, 0.0) > nowMs;
    }

    /** A node stands still; what is sent to it waits. */
    void freeze(NodeId id, double forMs) {
        frozenUntilMs.put(id, nowMs + forMs);
    }

    /** Nothing passes between these and all others; what is sent is lost, as are connections dialled across. */
    void cut(Set<NodeId> side, double forMs) {
        for (NodeId a : side) {
            for (NodeId b : meshes.keySet()) {
                if (!side.contains(b)) {
                    cutUntilMs.put(a + " " + b, nowMs + forMs);
                    cutUntilMs.put(b + " " + a, nowMs + forMs);
                }
            }
        }
    }

    boolean isCut(NodeId from, NodeId to) {
        return cutUntilMs(from, to) > nowMs;
    }

    /** Runs a node's code and charges its processor time to it. */
    void charge(NodeId node, Runnable r) {
        long from = CPU.getCurrentThreadCpuTime();
        r.run();
        meters.get(node).cpuNs += CPU.getCurrentThreadCpuTime() - from;
    }

    /** What an owner needs; its threads are this net's events. */
    public NodeEnvironment means(long life) {
        Executor later = r -> at(0, r);
        return new NodeEnvironment(this::nowMs, life, chance::nextLong, later, hello -> {
            SimulatedMesh mesh = new SimulatedMesh(this, hello);
            kill(hello.node());
            meshes.put(hello.node(), mesh);
            meters.putIfAbsent(hello.node(), new Meter());
            return mesh;
        });
    }

    /** What happens to a message that one node sends to another. */
    sealed interface Fate {
        /** It arrives after that many more ms, so many times. */
        record Arrives(int times, int lateMs) implements Fate {}

        /** The connection is reset instead. */
        record Reset() implements Fate {}

        /** It never arrives, though the connection stands. */
        record Vanishes() implements Fate {}
    }

    /** Decides what happens to messages and to dialling; a fault of nodes or links, or one planted in the code under test. */
    interface Interference {
        /** What happens to a message. */
        default Fate fate(NodeId from, NodeId to, Message message) {
            return new Fate.Arrives(1, 0);
        }

        /** True if a node does not dial though it means to. */
        default boolean swallowsDial(NodeId from, NodeId to) {
            return false;
        }

        /** True if a node closes a connection that it accepted while it dialled that peer itself. */
        default boolean closesCrossed() {
            return false;
        }
    }

    private Interference interference = new Interference() {};

    void interfere(Interference newInterference) {
        interference = newInterference;
    }

    Interference interference() {
        return interference;
    }

    /** The process at an address, null if none runs. */
    SimulatedMesh mesh(NodeId node) {
        return meshes.get(node);
    }

    /** The process ends; its connections are reset, as a platform does when it kills one. */
    void kill(NodeId node) {
        SimulatedMesh ended = meshes.remove(node);
        if (ended != null) {
            ended.end(true);
        }
    }

    /** The machine loses power for that time: it says nothing, and neither do its connections. */
    void powerOff(NodeId node, double forMs) {
        SimulatedMesh ended = meshes.remove(node);
        if (ended != null) {
            ended.end(false);
        }
        freeze(node, forMs);
    }

    double thawMs(NodeId node) {
        return frozenUntilMs.getOrDefault(node, 0.0);
    }

    double cutUntilMs(NodeId from, NodeId to) {
        return cutUntilMs.getOrDefault(from + " " + to, 0.0);
    }

    /** Nothing passes from one node to the other, and all passes the other way. */
    void cutOneWay(NodeId from, NodeId to, double forMs) {
        cutUntilMs.put(from + " " + to, nowMs + forMs);
    }

    private double bytesPerMs;
    private final Map<NodeId, Double> linkFreeMs = new HashMap<>();

    /** From now on a machine's link carries so much, all its connections together. */
    void limitLinks(double megabitsPerS) {
        bytesPerMs = megabitsPerS * 1000 / 8;
    }

    boolean isUnlimited() {
        return bytesPerMs == 0;
    }

    /** A machine's link is busy with so many bytes, after those before; returns in how many ms they are through. */
    double occupyLink(NodeId node, int bytes) {
        double fromMs = Math.max(nowMs, linkFreeMs.getOrDefault(node, 0.0));
        double untilMs = fromMs + bytes / bytesPerMs;
        linkFreeMs.put(node, untilMs);
        return untilMs - nowMs;
    }

    static Reach reach(Hello a, Hello b) {
        return a.zone().equals(b.zone()) ? Reach.ZONE : a.region().equals(b.region()) ? Reach.ZONES : Reach.REGIONS;
    }

    static double wayMs(Reach r) {
        return r == Reach.ZONE ? 0.2 : r == Reach.ZONES ? 1.4 : 20;
    }

    /** Charges a message to the meters of both ends. */
    void count(Hello from, Hello to, int bodyBytes) {
        int bytes = bodyBytes + FRAME_BYTES;
        Meter out = meters.get(from.node());
        out.outBytes[reach(from, to).ordinal()] += bytes;
        out.outMessages++;
        Meter in = meters.get(to.node());
        in.inBytes += bytes;
        in.inMessages++;
    }
}
