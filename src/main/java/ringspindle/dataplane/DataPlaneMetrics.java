package ringspindle.dataplane;

import java.util.Map;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.metrics.Metrics;
import ringspindle.proxy.ProxyHandler;

/** The figures that a data node tells; docs/ON-CALL.md says which symptom each is for. */
final class DataPlaneMetrics {
    private DataPlaneMetrics() {}

    static Metrics of(ProxyHandler proxy, LoadBalancer loadBalancer, DataNode node) {
        return new Metrics()
                .gauge("ringspindle_ready", "1 while new clients are welcome, else 0.", () -> proxy.isReady() ? 1 : 0)
                .gauge(
                        "ringspindle_configuration_revision",
                        "Revision of the configuration in force here, 0 without one.",
                        proxy::configurationRevision)
                .gauge(
                        "ringspindle_facts_overdue",
                        "Facts known here for over a second and not in force.",
                        node::overdueFacts)
                .gauge("ringspindle_requests_active", "Requests under way.", proxy::activeRequests)
                .gauge("ringspindle_requests_waiting", "Requests that wait for capacity.", proxy::queuedRequests)
                .counters("ringspindle_requests", "Requests that ended, by how.", "end", proxy::endCounts)
                .gauges(
                        "ringspindle_engines",
                        "Engines by state; one may have several. known counts all.",
                        "state",
                        () -> engines(loadBalancer.stats()))
                .counter(
                        "ringspindle_engine_ejections",
                        "Ejections of engines by what this node saw of them.",
                        () -> loadBalancer.stats().ejections())
                .counters(
                        "ringspindle_retries",
                        "Retries that the budget granted or refused.",
                        "decision",
                        () -> retries(loadBalancer.stats()));
    }

    private static Map<String, Integer> engines(LoadBalancer.Stats stats) {
        return Map.of(
                "known", stats.known(),
                "ejected", stats.ejected(),
                "draining", stats.draining(),
                "heartbeat_missing", stats.heartbeatMissing());
    }

    private static Map<String, Long> retries(LoadBalancer.Stats stats) {
        return Map.of("granted", stats.retriesGranted(), "refused", stats.retriesRefused());
    }
}
