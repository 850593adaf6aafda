package ringspindle.loadbalancing;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Map;
import java.util.Properties;
import java.util.Set;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.loadbalancing.LoadBalancer.SelectedEngine;
import ringspindle.loadbalancing.LoadBalancer.Selection;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.protocol.Message.Engine;

/** Load balancers of one service {@code s} with two regions, and what their tests ask of them. */
final class LoadBalancers {
    private static final String CONFIGURATION =
            "{\"revision\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"maxConnections\":100,\"warmupS\":3,\"warmupPerS\":20}]}";

    private LoadBalancers() {}

    /** The load balancer of a node; zone {@code a1} is in region {@code a}, {@code b1} in {@code b}. */
    static LoadBalancer create(String zone, String region) {
        return create("n", zone, region);
    }

    static LoadBalancer create(String name, String zone, String region) {
        Properties settings = new Properties();
        settings.putAll(Map.of("node.name", name, "node.ip", "10.0.0.1", "node.zone", zone, "node.region", region));
        settings.putAll(Map.of("listen.inner", "7000", "seeds", "10.0.0.9:80", "zone.a1", "a", "zone.b1", "b"));
        settings.putAll(Map.of("bound.retryRatio", "0.2", "bound.retrySlack", "50", "bound.retryWindowS", "10"));
        settings.putAll(Map.of("bound.warmupOverrun", "1.5", "bound.warmupSlack", "5"));
        NodeConfig config = ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
        LoadBalancer loadBalancer = LoadBalancer.create(config);
        loadBalancer.updateConfiguration(
                ((Validated.Valid<FleetConfig>) FleetConfig.read(CONFIGURATION.getBytes(UTF_8))).value());
        return loadBalancer;
    }

    /** An engine's report; its address ends with its number. */
    static Engine engine(String zone, int number, int warmupLeftMs, boolean draining) {
        return new Engine(64, warmupLeftMs, draining, -1, 1, "s", "10.1.0." + number + ":80", zone, "v");
    }

    static SelectionRequest request(Set<String> homes, Set<String> excluded, long weights) {
        return SelectionRequests.of("s")
                .allowedRegions(homes)
                .prompt(0, 0, 100)
                .output(50)
                .excluding(excluded)
                .weightsVersion(weights)
                .random(5)
                .build();
    }

    /** A request that any engine may serve. */
    static SelectionRequest anyRequest() {
        return request(Set.of(), Set.of(), -1);
    }

    /** The id of the engine that was selected, {@code none} if none was. */
    static String id(Selection selection) {
        return selection instanceof SelectedEngine engine ? engine.id() : "none";
    }
}
