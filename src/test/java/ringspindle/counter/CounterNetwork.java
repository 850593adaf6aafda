package ringspindle.counter;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;

/** Connections between simulated nodes: which directions pass, which connections stand, who counts as in touch. */
final class CounterNetwork {
    /** A node is out of touch so long after its link last worked both ways. */
    private static final double CONTACT_MS = 1000;
    /** A connection is dropped so long after its link last worked both ways. */
    private static final double DROP_MS = 1900;

    private final int nodes;
    private final boolean[][] cut;
    private final double[][] workedMs;
    private final Map<Integer, Integer> connections = new HashMap<>();
    private int opened;

    CounterNetwork(int nodes) {
        this.nodes = nodes;
        cut = new boolean[nodes][nodes];
        workedMs = new double[nodes][nodes];
    }

    private int key(int one, int other) {
        return Math.min(one, other) * nodes + Math.max(one, other);
    }

    /** Cuts the directions for which the predicate holds, and heals all others. */
    void cut(BiPredicate<Integer, Integer> directions) {
        for (int from = 0; from < nodes; from++) {
            for (int to = 0; to < nodes; to++) {
                cut[from][to] = from != to && directions.test(from, to);
            }
        }
    }

    boolean whole() {
        for (boolean[] row : cut) {
            for (boolean direction : row) {
                if (direction) {
                    return false;
                }
            }
        }
        return true;
    }

    boolean passes(int from, int to) {
        return !cut[from][to];
    }

    private boolean passesBothWays(int one, int other) {
        return passes(one, other) && passes(other, one);
    }

    /** The number of the connection that stands between the two, 0 for none. */
    int connection(int one, int other) {
        return connections.getOrDefault(key(one, other), 0);
    }

    /** Dials, if the link works; true if a new connection stands. */
    boolean dial(int one, int other, double nowMs) {
        if (connection(one, other) != 0 || !passesBothWays(one, other)) {
            return false;
        }
        connections.put(key(one, other), ++opened);
        workedMs[one][other] = nowMs;
        workedMs[other][one] = nowMs;
        return true;
    }

    /** The connections of a node are gone, as its process is. */
    void closeAll(int node) {
        for (int other = 0; other < nodes; other++) {
            connections.remove(key(node, other));
        }
    }

    /** Lets time go on: connections over links that do not work are dropped after a while. */
    void tick(double nowMs) {
        for (int one = 0; one < nodes; one++) {
            for (int other = 0; other < one; other++) {
                if (passesBothWays(one, other)) {
                    workedMs[one][other] = nowMs;
                    workedMs[other][one] = nowMs;
                } else if (nowMs - workedMs[one][other] > DROP_MS) {
                    connections.remove(key(one, other));
                }
            }
        }
    }

    boolean inTouch(int one, int other, double nowMs) {
        return connection(one, other) != 0 && nowMs - workedMs[one][other] < CONTACT_MS;
    }
}
