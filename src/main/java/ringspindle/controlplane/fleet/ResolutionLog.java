package ringspindle.controlplane.fleet;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import ringspindle.controlplane.fleet.Resolution.Scope;
import ringspindle.logging.LogField;

/**
 * Counts resolutions by scope. For the clients of each region it logs the first resolution of each scope that is not
 * near them, and the first near one after these. Guarded by its owner.
 */
public final class ResolutionLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Clients choose the names of regions, so the number of regions that are remembered is bounded. */
    private static final int MAX_REGIONS = 256;

    private static final Set<Scope> NEAR_SCOPES = EnumSet.of(Scope.ZONE, Scope.REGION);

    private final Map<Scope, Long> counts = new EnumMap<>(Scope.class);
    /** By region, the scopes that were logged since the last near resolution. */
    private final Map<String, Set<Scope>> logged = new HashMap<>();

    /**
     * Records a resolution.
     *
     * @param region the client's region
     * @param basis describes what the resolution is based on; only evaluated if a line is logged
     */
    public void recordAnswer(String region, Scope scope, Supplier<String> basis) {
        counts.merge(scope, 1L, Long::sum);
        if (NEAR_SCOPES.contains(scope)) {
            if (logged.remove(region) != null) {
                log(region, scope, basis);
            }
            return;
        }
        if (logged.size() >= MAX_REGIONS) {
            logged.clear();
        }
        if (logged.computeIfAbsent(region, absent -> EnumSet.noneOf(Scope.class))
                .add(scope)) {
            log(region, scope, basis);
        }
    }

    private static void log(String region, Scope scope, Supplier<String> basis) {
        LOG.atInfo()
                .with(LogField.REGION, region)
                .with(LogField.OUTCOME, scope)
                .with(LogField.REASON, basis.get())
                .log("resolution scope changed");
    }

    /** Number of resolutions of each scope on this node, 0 for a scope that never occurred. */
    public Map<String, Long> counts() {
        Map<String, Long> byScope = new TreeMap<>();
        for (Scope scope : Scope.values()) {
            byScope.put(scope.name().toLowerCase(Locale.ROOT), counts.getOrDefault(scope, 0L));
        }
        return byScope;
    }
}
