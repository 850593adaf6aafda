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

/** Creates load balancers, engine reports and requests for tests, with one service {@code s} and two regions. */
final class LoadBalancers {
    private static final String CONFIGURATION =
            "{\"revision\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"maxConnections\":100,\"warmupS\":3,\"warmupPerS\":20}]}";

    private LoadBalancers() {}

    /** Creates the load balancer of a node; zone {@code a1} is in region {@code a}, {@code b1} in {@code b}. */
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

    /** Creates the report of an engine whose address ends with {@code number}. */
    static Engine engine(String zone, int number, int remainingWarmupMs, boolean draining) {
        return new Engine(64, remainingWarmupMs, draining, -1, 1, "s", "10.1.0." + number + ":80", zone, "v");
    }

    static SelectionRequest request(Set<String> allowedRegions, Set<String> excluded, long weightsVersion) {
        return SelectionRequests.of("s")
                .allowedRegions(allowedRegions)
                .prompt(0, 0, 100)
                .output(50)
                .excluding(excluded)
                .weightsVersion(weightsVersion)
                .random(5)
                .build();
    }

    /** Returns a request that any engine may serve. */
    static SelectionRequest anyRequest() {
        return request(Set.of(), Set.of(), -1);
    }

    /** Returns the id of the selected engine, or {@code none}. */
    static String id(Selection selection) {
        return selection instanceof SelectedEngine engine ? engine.id() : "none";
    }
}
