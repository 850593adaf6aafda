package ringspindle.loadbalancing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Evacuated zones, and the end of the slow start of zones whose evacuation has ended. Confined to the lock of {@link
 * EngineTableLoadBalancer}.
 */
final class ZoneEvacuations {
    private final Set<String> evacuated = new HashSet<>();
    private final Map<String, Long> slowStartUntilMs = new HashMap<>();

    boolean contains(String zone) {
        return evacuated.contains(zone);
    }

    void start(String zone) {
        evacuated.add(zone);
    }

    /** Ends the evacuation of a zone; false if the zone was not evacuated. */
    boolean end(String zone) {
        return evacuated.remove(zone);
    }

    /** Sets the end of the slow start of a zone, which also applies to engines that report later. */
    void startSlowStart(String zone, long untilMs) {
        slowStartUntilMs.put(zone, untilMs);
    }

    /** Returns the end of the slow start of a zone, in ms of monotonic time; in the distant past if there is none. */
    long slowStartUntilMs(String zone) {
        return slowStartUntilMs.getOrDefault(zone, Long.MIN_VALUE);
    }
}
