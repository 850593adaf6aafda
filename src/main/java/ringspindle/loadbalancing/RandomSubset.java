package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/**
 * The engines that are compared for one request. What other nodes run is known about a second late. If each of many nodes compared
 * all engines, all would send to the one that seemed idle, until the next sums showed that it is not; so each compares two that are
 * drawn anew for each request (the power of two choices), from each distance: the node's zone, the rest of its region, and every other
 * region. Where few nodes share the load a node knows most of it at first hand, and compares all engines. Without state.
 */
final class RandomSubset {
    /** So many nodes know enough of the load at first hand. */
    static final int FULL_VIEW_NODES_MAX = 16;

    /** The two engines of one distance that were drawn so far: those with the lowest draws. */
    private static final class Pair {
        private EngineEntry first;
        private EngineEntry second;
        private long firstDraw = Long.MAX_VALUE;
        private long secondDraw = Long.MAX_VALUE;

        void offer(EngineEntry engine, long draw) {
            if (draw < firstDraw) {
                second = first;
                secondDraw = firstDraw;
                first = engine;
                firstDraw = draw;
            } else if (draw < secondDraw) {
                second = engine;
                secondDraw = draw;
            }
        }

        void addTo(List<EngineEntry> engines) {
            engines.add(first);
            if (second != null) {
                engines.add(second);
            }
        }
    }

    private RandomSubset() {}

    /**
     * Draws the engines to compare.
     *
     * @param open engines that the request may be sent to
     * @param prefixHolder compared in any case if it is open; null if it does not matter
     * @param zone the zone of this node
     * @param nodes how many nodes share the engines
     */
    static List<EngineEntry> of(
            List<EngineEntry> open, EngineEntry prefixHolder, SelectionRequest request, String zone, int nodes) {
        if (nodes <= FULL_VIEW_NODES_MAX) {
            return open;
        }
        Map<Object, Pair> byDistance = new LinkedHashMap<>();
        boolean holderOpen = false;
        for (EngineEntry engine : open) {
            Object distance = engine.zone().equals(zone) ? zone : engine.region();
            byDistance
                    .computeIfAbsent(distance, each -> new Pair())
                    .offer(engine, RendezvousHash.mix(request.random() * 31 ^ engine.key()));
            holderOpen |= engine == prefixHolder;
        }
        List<EngineEntry> drawn = new ArrayList<>(2 * byDistance.size() + 1);
        if (holderOpen) {
            drawn.add(prefixHolder);
        }
        byDistance.values().forEach(pair -> pair.addTo(drawn));
        return drawn;
    }
}
