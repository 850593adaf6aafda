package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/** Where a shared prompt prefix is cached: at the engine that rendezvous hashing ranks first, unless it is overloaded. */
final class PrefixAffinity {
    /** So many tokens more than the mean are no imbalance yet. */
    private static final int IMBALANCE_SLACK_TOKENS = 60_000;

    private PrefixAffinity() {}

    /** The engines by their rank for the request's shared prefix, in a new list. */
    static List<EngineEntry> rank(List<EngineEntry> engines, SelectionRequest request) {
        long affinityKey = request.affinityKey();
        List<EngineEntry> ranked = new ArrayList<>(engines);
        ranked.sort(Comparator.comparingLong(engine -> RendezvousHash.rank(engine.key(), affinityKey)));
        return ranked;
    }

    /** Whether the engine has a free place, and no more than its share of the load if it takes the request as well. */
    static boolean isBalanced(
            EngineEntry engine, SelectionRequest request, double maxImbalance, double meanTokens, long nowMs) {
        double tokens = engine.load().tokens(nowMs) + request.uncachedTokens();
        return engine.load().running(nowMs) < engine.capacity()
                && tokens <= maxImbalance * meanTokens + IMBALANCE_SLACK_TOKENS;
    }
}
