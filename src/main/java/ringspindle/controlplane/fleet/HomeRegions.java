package ringspindle.controlplane.fleet;

import ringspindle.config.AllowedRegions;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.gossip.FactStore;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;

/**
 * Finds the regions that may serve all requests of a host, by the newest configuration that this node knows. Each
 * version of the configuration is parsed once, on first use. Guarded by its owner.
 */
public final class HomeRegions {
    private static final String CONFIG_KEY = "";

    private final FactStore facts;
    private Fact parsedFact;
    private FleetConfig config;

    HomeRegions(FactStore facts) {
        this.facts = facts;
    }

    /** The regions that may serve a host; unknown without a configuration, or if it has no route of that host. */
    public AllowedRegions of(String host) {
        Fact newest = facts.get(FactKind.CONFIG, CONFIG_KEY);
        if (newest == null) {
            return AllowedRegions.UNKNOWN;
        }
        if (newest != parsedFact) {
            parsedFact = newest;
            config = parse(newest);
        }
        return config == null ? AllowedRegions.UNKNOWN : config.allowedRegions(host);
    }

    private static FleetConfig parse(Fact fact) {
        return FleetConfig.read(FleetConfig.unpack(fact.value())) instanceof Validated.Valid<FleetConfig> valid
                ? valid.value()
                : null;
    }
}
