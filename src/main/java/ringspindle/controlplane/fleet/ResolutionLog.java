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
 * Counts answers of the directory by scope. Logs the first answer of each scope that is not near the clients of a region, and
 * the first near one after such answers. Guarded by its owner.
 */
public final class ResolutionLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Regions are named by clients; what is remembered of them is bounded. */
    private static final int REGIONS_MAX = 256;

    private static final Set<Scope> NEAR = EnumSet.of(Scope.ZONE, Scope.REGION);

    private final Map<Scope, Long> counts = new EnumMap<>(Scope.class);
    /** By region, the scopes that were logged since the last near answer. */
    private final Map<String, Set<Scope>> logged = new HashMap<>();

    /**
     * An answer was given.
     *
     * @param region the client's region
     * @param basis what the answer rests on; asked for only if a line is logged
     */
    public void recordAnswer(String region, Scope scope, Supplier<String> basis) {
        counts.merge(scope, 1L, Long::sum);
        if (NEAR.contains(scope)) {
            if (logged.remove(region) != null) {
                log(region, scope, basis);
            }
            return;
        }
        if (logged.size() >= REGIONS_MAX) {
            logged.clear();
        }
        if (logged.computeIfAbsent(region, unknown -> EnumSet.noneOf(Scope.class))
                .add(scope)) {
            log(region, scope, basis);
        }
    }

    private static void log(String region, Scope scope, Supplier<String> basis) {
        LOG.atInfo()
                .with(LogField.REGION, region)
                .with(LogField.OUTCOME, scope)
                .with(LogField.REASON, basis.get())
                .log("directory answers");
    }

    /** How many answers of each scope this node has given; scopes that never occurred are 0. */
    public Map<String, Long> counts() {
        Map<String, Long> byScope = new TreeMap<>();
        for (Scope scope : Scope.values()) {
            byScope.put(scope.name().toLowerCase(Locale.ROOT), counts.getOrDefault(scope, 0L));
        }
        return byScope;
    }
}
