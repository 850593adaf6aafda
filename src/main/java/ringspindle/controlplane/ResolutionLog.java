package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import ringspindle.logging.LogField;

/**
 * Counts answers of the directory by scope, and logs when the scope for clients of a region changes. Guarded by its owner.
 */
final class ResolutionLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Regions are named by clients; what is remembered of them is bounded. */
    private static final int REGIONS_MAX = 256;

    private final Map<Resolution.Scope, Long> counts = new EnumMap<>(Resolution.Scope.class);
    private final Map<String, Resolution.Scope> latest = new HashMap<>();

    /**
     * An answer was given.
     *
     * @param region the client's region
     * @param known what the answer rests on; asked for only if a line is logged
     */
    void answered(String region, Resolution.Scope scope, Supplier<String> known) {
        counts.merge(scope, 1L, Long::sum);
        if (latest.get(region) == scope) {
            return;
        }
        if (latest.size() >= REGIONS_MAX) {
            latest.clear();
        }
        latest.put(region, scope);
        LOG.atInfo()
                .with(LogField.REGION, region)
                .with(LogField.OUTCOME, scope)
                .with(LogField.REASON, known.get())
                .log("directory answers change");
    }

    /** How many answers of each scope this node has given; scopes that never occurred are 0. */
    Map<String, Long> counts() {
        Map<String, Long> byScope = new TreeMap<>();
        for (Resolution.Scope scope : Resolution.Scope.values()) {
            byScope.put(scope.name().toLowerCase(Locale.ROOT), counts.getOrDefault(scope, 0L));
        }
        return byScope;
    }
}
