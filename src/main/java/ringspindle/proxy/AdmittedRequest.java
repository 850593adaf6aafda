package ringspindle.proxy;

import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import ringspindle.config.AllowedRegions;
import ringspindle.config.FleetConfig;
import ringspindle.config.Tenant;
import ringspindle.experiment.Assignment;
import ringspindle.experiment.Policy;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.retry.RetryPolicy;
import ringspindle.routing.Affinity;
import ringspindle.routing.RequestAttributes;
import ringspindle.routing.ServingRule;
import ringspindle.routing.ServingRules;
import ringspindle.tenancy.Identity;

/**
 * A client request that was read completely, with the route and the serving rules in force at its admission. It is processed
 * under these even if the configuration changes meanwhile.
 */
final class AdmittedRequest {
    /** Number of route and rule ranks within one tenant priority. */
    private static final int RANKS_PER_TENANT_PRIORITY = 4;

    private final Request request;
    private final byte[] body;
    private final FleetConfig.Route route;
    private final String service;
    private final String attemptId;
    private final long receivedMs;
    private final long timeLimitMs;
    private final ServingRules rules;
    private final Identity identity;
    private final boolean mayOutliveNode;
    private final Optional<Assignment> assignment;
    private final ServingRule rule;
    private final int promptTokens;
    private final int outputTokens;
    private final Affinity.Key affinity;

    /**
     * Creates an admitted request from its headers and body.
     *
     * @param service the service of the route that serves this request
     * @param rulesInForce the serving rules in force, null while there are none
     * @param assignment the experiment variant assigned to the request, if any
     */
    AdmittedRequest(
            IncomingRequest incoming,
            byte[] body,
            String service,
            ServingRules rulesInForce,
            Optional<Assignment> assignment) {
        request = incoming.request();
        route = incoming.route();
        attemptId = incoming.attemptId();
        receivedMs = incoming.receivedMs();
        timeLimitMs = incoming.timeLimitMs();
        identity = incoming.identity();
        mayOutliveNode = incoming.mayOutliveNode();
        this.body = body;
        this.service = service;
        this.assignment = assignment;
        rules = policy().rules().orElse(rulesInForce);
        TokenCounts tokens = TokenCounts.of(request.getHeaders());
        promptTokens = tokens.prompt();
        outputTokens = tokens.output();
        rule = rules == null ? null : rules.match(attributes());
        String prefix = header(Headers.PROMPT_PREFIX, "");
        affinity = rule == null || rule.affinity() == null
                ? Affinity.defaultKey(prefix)
                : rule.affinity().key(prefix);
    }

    private RequestAttributes attributes() {
        return new RequestAttributes(
                route.name(),
                route.host(),
                request.getHttpURI().getPath(),
                header(Headers.MODEL, ""),
                promptTokens,
                allowedRegions().isRestricted());
    }

    Request request() {
        return request;
    }

    HttpFields headers() {
        return request.getHeaders();
    }

    byte[] body() {
        return body;
    }

    FleetConfig.Route route() {
        return route;
    }

    String service() {
        return service;
    }

    String attemptId() {
        return attemptId;
    }

    /** When the request headers were received, on the monotonic clock. */
    long receivedMs() {
        return receivedMs;
    }

    /** The deadline for the response, on the monotonic clock. */
    long deadlineMs() {
        return receivedMs + timeLimitMs;
    }

    /** The experiment variant assigned at admission. */
    Optional<Assignment> assignment() {
        return assignment;
    }

    private Policy policy() {
        return assignment.map(Assignment::policy).orElse(Policy.DEFAULT);
    }

    /** The serving rules in force at admission, null if there were none. */
    ServingRules rules() {
        return rules;
    }

    /** The serving rule that the request matches, null without rules. */
    ServingRule rule() {
        return rule;
    }

    /** The name of the serving class that the request is counted under. */
    String servingClass() {
        return rule == null ? ServingRules.DEFAULT_CLASS : rule.name();
    }

    /** The revision of the rules in force at admission, 0 without rules. */
    long rulesRevision() {
        return rules == null ? 0 : rules.revision();
    }

    /** Priority among waiting requests, 0 first: the tenant's, then the rule's rank or else the route's priority. */
    int priority() {
        int baseRank = rule == null || rule.rank() < 0 ? route.priority() : rule.rank();
        return tenant().map(Tenant::priority).orElse(0) * RANKS_PER_TENANT_PRIORITY + baseRank;
    }

    /** Returns true if tenants are configured, even if the request belongs to none of them. */
    boolean areTenantsConfigured() {
        return !(identity instanceof Identity.Anyone anyone) || anyone.amongTenants();
    }

    /** The tenant that sent the request, empty if it belongs to none. */
    Optional<Tenant> tenant() {
        return identity instanceof Identity.Known known ? Optional.of(known.tenant()) : Optional.empty();
    }

    /** The regions that may serve the request: the intersection of the route's and the tenant's home regions. */
    private AllowedRegions allowedRegions() {
        AllowedRegions routeRegions = route.allowedRegions();
        return tenant().map(tenant -> routeRegions.and(tenant.homes())).orElse(routeRegions);
    }

    /**
     * Returns the load balancer's input for selecting an engine.
     *
     * @param attemptedEngines engines that were already tried and are excluded
     * @param weightVersion the model weights that a resumed stream requires, below 0 for any
     * @param waitedMs how long the request has waited for capacity
     */
    LoadBalancer.SelectionRequest selectionRequest(
            Set<String> attemptedEngines, long weightVersion, long random, long waitedMs) {
        return new LoadBalancer.SelectionRequest(
                service,
                allowedRegions(),
                affinityKey(),
                sharedTokens(),
                ownTokens(),
                outputTokens,
                attemptedEngines,
                weightVersion,
                random,
                routingPreference(waitedMs),
                policy().weights());
    }

    /** The rule's routing preference, null if the rule states none; routing is then the same as without rules. */
    private LoadBalancer.RoutingPreference routingPreference(long waitedMs) {
        if (rule == null) {
            return null;
        }
        double reservedForOthers = rules.shareReservedForOthers(rule);
        boolean hasNoPreference = reservedForOthers <= 0
                && rule.affinity() == null
                && rule.whenBusy().isEmpty()
                && rule.whenUnavailable().isEmpty();
        if (hasNoPreference) {
            return null;
        }
        double maxImbalance = rule.affinity() == null
                ? policy().weights().maxImbalance()
                : rule.affinity().maxImbalance();
        return new LoadBalancer.RoutingPreference(
                reservedForOthers, maxImbalance, rule.whenBusy(), rule.whenUnavailable(), waitedMs);
    }

    boolean isStreaming() {
        return route.kind() == FleetConfig.Kind.STREAMING;
    }

    /** Returns true for a stream that is buffered until complete, because the node may terminate first and truncate it. */
    boolean isBufferedUntilComplete() {
        return mayOutliveNode && isStreaming();
    }

    RetryPolicy retryPolicy() {
        return new RetryPolicy(route.repeatable(), route.resumable(), route.maxAttempts());
    }

    /** Hash of the shared prompt prefix, equal on every node; 0 if it has none long enough to route by. */
    long affinityKey() {
        return affinity.hash();
    }

    /** Number of prompt tokens shared with other requests. */
    int sharedTokens() {
        return affinity.sharedTokens();
    }

    /** Number of prompt tokens that are not shared. */
    int ownTokens() {
        return Math.max(0, promptTokens - affinity.sharedTokens());
    }

    private String header(String name, String defaultValue) {
        String value = request.getHeaders().get(name);
        return value == null ? defaultValue : value;
    }
}
