package ringspindle.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Draws faults of a {@link SimulatedCluster}: never more nodes lost at once than the deployment allows. */
final class SimulatedFaults {
    private static final int KINDS_WITH_ONE_LOST = 10;
    private static final int KINDS = 12;
    private static final long LEAVES_FOR_MS = 900;
    private static final long REPLACEMENT_READY_MS = 3000;
    private static final long SUCCESSOR_MS = 1000;

    private final SimulatedCluster cluster;
    private long quietFromMs;

    SimulatedFaults(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Draws a fault, unless the one before is not over. */
    void any() {
        if (cluster.nowMs() < quietFromMs) {
            return;
        }
        SimulatedNode node = cluster.anyNode();
        long forMs = 300L + cluster.random.nextInt(3500);
        quietFromMs = cluster.nowMs() + forMs + 4000 + 1000L * cluster.lost();
        List<SimulatedNode> shuffled = new ArrayList<>(cluster.nodes);
        Collections.shuffle(shuffled, cluster.random);
        List<SimulatedNode> few = shuffled.subList(0, cluster.lost());
        switch (cluster.random.nextInt(cluster.lost() == 1 ? KINDS_WITH_ONE_LOST : KINDS)) {
            case 0 -> few.forEach(each -> cluster.crash(each, false, forMs));
            case 1 -> few.forEach(each -> cluster.crash(each, true, forMs));
            case 2 -> cluster.freeze(node, forMs);
            case 3 -> cutOff(node, forMs);
            case 4 -> cutOneLink(node, forMs);
            case 5 -> node.stalledUntilMs = cluster.nowMs() + forMs;
            case 6 -> leaveAndEnd(node, forMs);
            case 8 -> replacePlanned(node);
            case 9 -> replaceLost(node);
            case 10 -> {
                cluster.crash(few.get(0), true, forMs);
                cutOff(few.get(1), forMs);
            }
            case 11 -> losePower(few);
            default -> losePower(List.of());
        }
    }

    private void cutOff(SimulatedNode node, long forMs) {
        for (SimulatedNode other : cluster.nodes) {
            if (other != node) {
                cluster.cut(node, other, forMs);
                cluster.cut(other, node, forMs);
            }
        }
    }

    private void cutOneLink(SimulatedNode node, long forMs) {
        SimulatedNode other = cluster.anyNode();
        if (other == node) {
            return;
        }
        cluster.cut(node, other, forMs);
        if (cluster.random.nextBoolean()) {
            cluster.cut(other, node, forMs);
        }
    }

    /** It is told to end, says so, and ends a moment later. */
    private void leaveAndEnd(SimulatedNode node, long forMs) {
        node.leaving = true;
        cluster.in(LEAVES_FOR_MS, () -> {
            if (cluster.nodes.contains(node)) {
                cluster.crash(node, false, forMs);
            }
        });
    }

    /** All lose their power at once, some their disks too. */
    private void losePower(List<SimulatedNode> withDisks) {
        for (SimulatedNode each : cluster.nodes) {
            cluster.crash(each, withDisks.contains(each), 200 + cluster.random.nextInt(1500));
        }
    }

    /** The new one first; then the old one is told to end, and ends once it has handed over or its time is up. */
    void replacePlanned(SimulatedNode old) {
        cluster.join();
        cluster.in(REPLACEMENT_READY_MS, () -> old.leaving = true);
        cluster.in(REPLACEMENT_READY_MS + LEAVES_FOR_MS, () -> cluster.removeForGood(old));
    }

    /** One is gone for good, an empty one comes a second later at another address. */
    void replaceLost(SimulatedNode old) {
        cluster.removeForGood(old);
        cluster.in(SUCCESSOR_MS, cluster::join);
    }

    /** A new node comes while the given one stands still, which gets all that was sent to it when it wakes. */
    void freezeAndJoin(SimulatedNode node, long forMs) {
        cluster.freeze(node, forMs);
        cluster.in(SUCCESSOR_MS, cluster::join);
    }
}
