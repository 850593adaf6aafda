package ringspindle.controlplane;

import java.util.Map;
import java.util.Properties;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;

/** Creates settings of a control node in region a, in a fleet with one zone in each of the regions a, b and c. */
public final class ControlNodeSettings {
    private ControlNodeSettings() {}

    /** Returns the settings. */
    public static NodeConfig create() {
        Properties settings = new Properties();
        settings.putAll(Map.of("node.name", "c", "node.ip", "10.0.0.1", "node.zone", "za", "node.region", "a"));
        settings.putAll(
                Map.of("listen.control", "10.0.0.1:1", "listen.registry", "10.0.0.1:2", "listen.inner", "7000"));
        settings.putAll(Map.of("seeds", "10.0.0.1:1", "node.data", "/data"));
        settings.putAll(Map.of("zone.za", "a", "zone.zb", "b", "zone.zc", "c"));
        return ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
    }
}
