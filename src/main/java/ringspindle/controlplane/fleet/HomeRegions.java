package ringspindle.controlplane.fleet;

import ringspindle.config.AllowedRegions;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.gossip.FactStore;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;

/**
 * Which regions may serve all requests of a host, by the newest configuration that this node knows. The configuration is read
 * only when somebody asks, and once a version. Guarded by its owner.
 */
public final class HomeRegions {
    private static final String CONFIGURATION = "";

    private final FactStore facts;
    private Fact readFrom;
    private FleetConfig config;

    HomeRegions(FactStore facts) {
        this.facts = facts;
    }

    /** The regions that may serve a host; unknown without a configuration, or if it has no route of that host. */
    public AllowedRegions of(String host) {
        Fact newest = facts.get(FactKind.CONFIG, CONFIGURATION);
        if (newest == null) {
            return AllowedRegions.UNKNOWN;
        }
        if (newest != readFrom) {
            readFrom = newest;
            config = read(newest);
        }
        return config == null ? AllowedRegions.UNKNOWN : config.allowedRegions(host);
    }

    private static FleetConfig read(Fact fact) {
        return FleetConfig.read(FleetConfig.unpack(fact.value())) instanceof Validated.Valid<FleetConfig> valid
                ? valid.value()
                : null;
    }
}
