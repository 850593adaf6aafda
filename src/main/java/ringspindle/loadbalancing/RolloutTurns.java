package ringspindle.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Engines whose turn it is in a rollout of their service: they get nothing new. Confined to the lock of {@link
 * EngineTableLoadBalancer}.
 */
final class RolloutTurns {
    private final Map<String, Set<String>> idsByService = new HashMap<>();

    /** Ids of the engines of that service whose turn it is. */
    Set<String> ids(String service) {
        return idsByService.getOrDefault(service, Set.of());
    }

    void set(String service, Set<String> ids) {
        if (ids.isEmpty()) {
            idsByService.remove(service);
        } else {
            idsByService.put(service, Set.copyOf(ids));
        }
    }
}
