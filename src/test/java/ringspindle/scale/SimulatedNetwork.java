package ringspindle.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.transport.Mesh;
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
    private final Map<NodeId, HollowMesh> meshes = new HashMap<>();
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

    private boolean cut(NodeId a, NodeId b) {
        return cutUntilMs.getOrDefault(a + " " + b, 0.0) > nowMs;
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
            HollowMesh m = new HollowMesh(hello);
            meshes.put(hello.node(), m);
            meters.put(hello.node(), new Meter());
            return m;
        });
    }

    private static Reach reach(Hello a, Hello b) {
        return a.zone().equals(b.zone()) ? Reach.ZONE : a.region().equals(b.region()) ? Reach.ZONES : Reach.REGIONS;
    }

    private static double wayMs(Reach r) {
        return r == Reach.ZONE ? 0.2 : r == Reach.ZONES ? 1.4 : 20;
    }

    private final class HollowMesh implements Mesh {
        private final Hello self;
        private final Set<NodeId> links = new HashSet<>();
        private Listener listener;

        HollowMesh(Hello self) {
            this.self = self;
        }

        @Override
        public void open(Listener newListener) {
            listener = newListener;
        }

        @Override
        public void dial(NodeId peer) {
            HollowMesh other = meshes.get(peer);
            if (other == null || other == this || links.contains(peer) || cut(self.node(), peer) || down(peer)) {
                return;
            }
            at(2 * wayMs(reach(self, other.self)), () -> {
                if (other.listener != null && !links.contains(peer) && !other.links.contains(self.node())) {
                    links.add(peer);
                    other.links.add(self.node());
                    count(this, other, self);
                    count(other, this, other.self);
                    charge(peer, () -> other.listener.opened(self));
                    charge(self.node(), () -> listener.opened(other.self));
                }
            });
        }

        private void count(HollowMesh from, HollowMesh to, Message m) {
            int bytes = Codec.encode(m).length + FRAME_BYTES;
            Meter out = meters.get(from.self.node());
            out.outBytes[reach(from.self, to.self).ordinal()] += bytes;
            out.outMessages++;
            Meter in = meters.get(to.self.node());
            in.inBytes += bytes;
            in.inMessages++;
        }

        @Override
        public void send(NodeId peer, Message m) {
            if (!links.contains(peer)) {
                return;
            }
            HollowMesh other = meshes.get(peer);
            byte[] bytes = Codec.encode(m);
            Reach r = reach(self, other.self);
            Meter out = meters.get(self.node());
            out.outBytes[r.ordinal()] += bytes.length + FRAME_BYTES;
            out.outMessages++;
            if (cut(self.node(), peer)) {
                // as on a connection whose other end is behind a cut: nothing arrives until silence ends it
                return;
            }
            at(wayMs(r), () -> deliver(peer, other, bytes));
        }

        private void deliver(NodeId peer, HollowMesh other, byte[] bytes) {
            if (!other.links.contains(self.node())) {
                return;
            }
            if (down(peer)) {
                at(frozenUntilMs.get(peer) - nowMs + 0.01, () -> deliver(peer, other, bytes));
                return;
            }
            Meter in = meters.get(peer);
            in.inBytes += bytes.length + FRAME_BYTES;
            in.inMessages++;
            charge(peer, () -> other.listener.received(self.node(), Codec.decode(bytes)));
        }

        @Override
        public boolean connected(NodeId peer) {
            return links.contains(peer);
        }

        @Override
        public void drop(NodeId peer) {
            if (links.remove(peer)) {
                HollowMesh other = meshes.get(peer);
                other.links.remove(self.node());
                listener.closed(peer);
                other.listener.closed(self.node());
            }
        }

        @Override
        public void close() {
            new ArrayList<>(links).forEach(this::drop);
        }
    }
}
