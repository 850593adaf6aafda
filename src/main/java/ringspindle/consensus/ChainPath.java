package ringspindle.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import ringspindle.protocol.NodeId;

/** Finds the longest chain of pairwise connected nodes with a depth-first search of bounded size. */
final class ChainPath {
    /** Bounds the search, which is exponential in the worst case when many links are broken. */
    private static final int MAX_SEARCH_STEPS = 4000;

    private final BiPredicate<NodeId, NodeId> connected;
    private int remainingSteps = MAX_SEARCH_STEPS;

    private ChainPath(BiPredicate<NodeId, NodeId> connected) {
        this.connected = connected;
    }

    /** Returns the longest path from the head over connected members, or the best that the bounded search finds. */
    static List<NodeId> longest(NodeId head, List<NodeId> members, BiPredicate<NodeId, NodeId> connected) {
        return new ChainPath(connected).longestFrom(head, members);
    }

    private List<NodeId> longestFrom(NodeId first, List<NodeId> rest) {
        List<NodeId> best = List.of(first);
        if (--remainingSteps < 0) {
            return best;
        }
        for (NodeId next : rest) {
            if (!connected.test(first, next)) {
                continue;
            }
            List<NodeId> others = new ArrayList<>(rest);
            others.remove(next);
            List<NodeId> tail = longestFrom(next, others);
            if (tail.size() + 1 > best.size()) {
                best = new ArrayList<>(List.of(first));
                best.addAll(tail);
            }
            if (best.size() == rest.size() + 1) {
                return best;
            }
        }
        return best;
    }
}
