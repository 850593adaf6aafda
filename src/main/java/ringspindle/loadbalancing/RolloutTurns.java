package ringspindle.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Engines whose turn it is in a rollout of their service: they get nothing new; and versions of software
 * that get nothing at all. Confined to the lock of {@link
 * EngineTableLoadBalancer}.
 */
final class RolloutTurns {
    private final Map<String, Set<String>> idsByService = new HashMap<>();
    private final Map<String, String> withheldVersions = new HashMap<>();

    /** Ids of the engines of that service whose turn it is. */
    Set<String> ids(String service) {
        return idsByService.getOrDefault(service, Set.of());
    }

    /** The version of a service's software whose engines get nothing, empty for none. */
    String withheldVersion(String service) {
        return withheldVersions.getOrDefault(service, "");
    }

    void setExcludedSoftwareVersion(String service, String version) {
        withheldVersions.put(service, version);
    }

    void set(String service, Set<String> ids) {
        if (ids.isEmpty()) {
            idsByService.remove(service);
        } else {
            idsByService.put(service, Set.copyOf(ids));
        }
    }
}
