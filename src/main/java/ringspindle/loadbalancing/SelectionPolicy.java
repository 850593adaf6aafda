package ringspindle.loadbalancing;

import ringspindle.config.FleetConfig;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;

/** Chooses among the candidates of a request. Called with the lock of {@link EngineTableLoadBalancer} held. */
interface SelectionPolicy {
    /**
     * Chooses an engine; the caller counts the request as running there.
     *
     * @param service the service of the request; null if the configuration does not have it
     */
    EngineChoice choose(SelectionRequest request, FleetConfig.Service service, Candidates candidates, long nowMs);
}
