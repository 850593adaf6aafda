package ringspindle.loadbalancing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Zones that are evacuated, and until when engines of a zone that was evacuated warm up. Confined to the lock of {@link
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

    /** Ends an evacuation; false if there was none. */
    boolean end(String zone) {
        return evacuated.remove(zone);
    }

    /** Engines of the zone warm up until then, also those that report later. */
    void startSlowStart(String zone, long untilMs) {
        slowStartUntilMs.put(zone, untilMs);
    }

    /** Until when engines of the zone warm up, in ms of steady time; long past if they do not. */
    long slowStartUntilMs(String zone) {
        return slowStartUntilMs.getOrDefault(zone, Long.MIN_VALUE);
    }
}
