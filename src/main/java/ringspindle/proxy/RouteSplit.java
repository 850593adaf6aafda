package ringspindle.proxy;

import com.google.common.hash.Hashing;
import java.util.List;
import ringspindle.config.FleetConfig;

/** Distributes the requests of a route over its services by weight. */
final class RouteSplit {
    private static final double HASH_RANGE = 1L << 31;

    private RouteSplit() {}

    /** Selects the service for a request; the same attempt id always selects the same service. */
    static String selectService(FleetConfig.Route route, String attemptId) {
        List<FleetConfig.Target> targets = route.targets();
        if (targets.size() == 1) {
            return targets.get(0).service();
        }
        double totalWeight = 0;
        for (FleetConfig.Target target : targets) {
            totalWeight += target.weight();
        }
        double remainingWeight = fraction(attemptId) * totalWeight;
        for (FleetConfig.Target target : targets) {
            remainingWeight -= target.weight();
            if (remainingWeight < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    /** Hashes the id to a number in [0, 1). */
    private static double fraction(String attemptId) {
        int hash = Hashing.murmur3_32_fixed().hashUnencodedChars(attemptId).asInt();
        return (hash >>> 1) / HASH_RANGE;
    }
}
