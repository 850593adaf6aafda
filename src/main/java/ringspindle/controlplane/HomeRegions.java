package ringspindle.controlplane;

import java.util.Set;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.gossip.FactStore;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;

/**
 * Which regions may serve all requests of a host, by the configuration in force. The configuration is read only when
 * somebody asks, and once a version. Guarded by its owner.
 */
final class HomeRegions {
    private static final String CONFIGURATION = "";

    private final FactStore facts;
    private Fact readFrom;
    private FleetConfig config;

    HomeRegions(FactStore facts) {
        this.facts = facts;
    }

    /** The regions that are a home of every route of the host that has homes; empty if there is none. */
    Set<String> of(String host) {
        Fact newest = facts.get(FactKind.CONFIG, CONFIGURATION);
        if (newest == null) {
            return Set.of();
        }
        if (newest != readFrom) {
            readFrom = newest;
            config = read(newest);
        }
        return config == null ? Set.of() : config.homeRegions(host);
    }

    /** True once this node has a configuration. */
    boolean known() {
        return facts.get(FactKind.CONFIG, CONFIGURATION) != null;
    }

    private static FleetConfig read(Fact fact) {
        return FleetConfig.read(FleetConfig.unpack(fact.value())) instanceof Validated.Valid<FleetConfig> valid
                ? valid.value()
                : null;
    }
}
