package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/**
 * Draws the engines whose costs are compared for one request.
 *
 * <p>The load of other nodes is known about a second late. If many nodes compared all engines, all of them would send
 * to the engine that seemed idle until the next load update. Each node therefore compares two random engines per
 * request (the power of two choices) from each locality: the node's zone, the rest of its region, and every other
 * region. With few nodes, most of the load is a node's own and known exactly, so all engines are compared. Stateless.
 */
final class RandomSubset {
    /** Up to this many nodes, each compares all engines. */
    static final int MAX_NODES_COMPARING_ALL = 16;

    /** The two engines of one locality with the lowest draws so far. */
    private static final class LowestDraws {
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
     * @param selectable engines that the request may be sent to
     * @param prefixHolder engine that is always included if it is selectable; may be null
     * @param zone the zone of this node
     * @param nodes how many nodes share the engines
     */
    static List<EngineEntry> of(
            List<EngineEntry> selectable, EngineEntry prefixHolder, SelectionRequest request, String zone, int nodes) {
        if (nodes <= MAX_NODES_COMPARING_ALL) {
            return selectable;
        }
        Map<Object, LowestDraws> byLocality = new LinkedHashMap<>();
        boolean holderSelectable = false;
        for (EngineEntry engine : selectable) {
            Object locality = engine.zone().equals(zone) ? zone : engine.region();
            byLocality
                    .computeIfAbsent(locality, each -> new LowestDraws())
                    .offer(engine, RendezvousHash.mix(request.random() * 31 ^ engine.key()));
            holderSelectable |= engine == prefixHolder;
        }
        List<EngineEntry> drawn = new ArrayList<>(2 * byLocality.size() + 1);
        if (holderSelectable) {
            drawn.add(prefixHolder);
        }
        byLocality.values().forEach(draws -> draws.addTo(drawn));
        return drawn;
    }
}
