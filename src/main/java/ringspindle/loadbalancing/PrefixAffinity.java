package ringspindle.loadbalancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/** Prefix affinity: requests that share a prompt prefix go to the engine that rendezvous hashing ranks first for it. */
final class PrefixAffinity {
    /** Tokens in flight that an engine may have beyond the allowed multiple of the mean. */
    private static final int IMBALANCE_SLACK_TOKENS = 60_000;

    private PrefixAffinity() {}

    /** Returns a new list of the engines, sorted by rank for the request's shared prefix. */
    static List<EngineEntry> rank(List<EngineEntry> engines, SelectionRequest request) {
        long affinityKey = request.affinityKey();
        List<EngineEntry> ranked = new ArrayList<>(engines);
        ranked.sort(Comparator.comparingLong(engine -> RendezvousHash.rank(engine.key(), affinityKey)));
        return ranked;
    }

    /** Returns true if the engine has free capacity and would not be overloaded with the request added. */
    static boolean isBalanced(
            EngineEntry engine, SelectionRequest request, double maxImbalance, double meanTokens, long nowMs) {
        double tokens = engine.load().tokens(nowMs) + request.uncachedTokens();
        return engine.load().running(nowMs) < engine.capacity()
                && tokens <= maxImbalance * meanTokens + IMBALANCE_SLACK_TOKENS;
    }
}
