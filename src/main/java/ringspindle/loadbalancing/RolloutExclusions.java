package ringspindle.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Engines and software versions that rollouts exclude from selection, by service. Confined to the lock of {@link
 * EngineTableLoadBalancer}.
 */
final class RolloutExclusions {
    private final Map<String, Set<String>> engineIdsByService = new HashMap<>();
    private final Map<String, String> softwareVersionByService = new HashMap<>();

    /** Returns the ids of the engines of a service that a rollout is updating; they get no new requests. */
    Set<String> engineIds(String service) {
        return engineIdsByService.getOrDefault(service, Set.of());
    }

    /** Returns the software version of a service whose engines get no requests; empty for none. */
    String softwareVersion(String service) {
        return softwareVersionByService.getOrDefault(service, "");
    }

    void setSoftwareVersion(String service, String version) {
        softwareVersionByService.put(service, version);
    }

    void setEngineIds(String service, Set<String> engineIds) {
        if (engineIds.isEmpty()) {
            engineIdsByService.remove(service);
        } else {
            engineIdsByService.put(service, Set.copyOf(engineIds));
        }
    }
}
