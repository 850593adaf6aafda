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
 * A client's request that was read whole, with the route and the serving rules that it was admitted under. All that is
 * done for it follows these, whatever configuration comes since.
 */
final class AdmittedRequest {
    /** Ranks of routes and rules within one rank of tenants. */
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
     * Reads what the head says of the request.
     *
     * @param service the service of the route that serves this request
     * @param rulesInForce the serving rules in force, null while there are none
     * @param assignment what an experiment says of it
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

    /** When its head had come, on the steady clock. */
    long receivedMs() {
        return receivedMs;
    }

    /** When it has to be answered at the latest, on the steady clock. */
    long deadlineMs() {
        return receivedMs + timeLimitMs;
    }

    /** What an experiment said of it when it was admitted. */
    Optional<Assignment> assignment() {
        return assignment;
    }

    private Policy policy() {
        return assignment.map(Assignment::policy).orElse(Policy.DEFAULT);
    }

    /** The rules that it was admitted under, null if there were none. */
    ServingRules rules() {
        return rules;
    }

    /** The rule that it falls under, null without rules. */
    ServingRule rule() {
        return rule;
    }

    /** The name that it is counted under. */
    String servingClass() {
        return rule == null ? ServingRules.DEFAULT_CLASS : rule.name();
    }

    /** The revision of the rules that it was admitted under, 0 without rules. */
    long rulesRevision() {
        return rules == null ? 0 : rules.revision();
    }

    /** Its rank among requests that wait, 0 being served first: the tenant's before the rule's, or else the route's. */
    int priority() {
        int baseRank = rule == null || rule.rank() < 0 ? route.priority() : rule.rank();
        return tenant().map(Tenant::priority).orElse(0) * RANKS_PER_TENANT_PRIORITY + baseRank;
    }

    /** True where there are tenants, though this may be anyone's request. */
    boolean areTenantsConfigured() {
        return !(identity instanceof Identity.Anyone anyone) || anyone.amongTenants();
    }

    /** Whose request it is, empty where it is anyone's. */
    Optional<Tenant> tenant() {
        return identity instanceof Identity.Known known ? Optional.of(known.tenant()) : Optional.empty();
    }

    /** The regions that may serve it: homes of the route and of the tenant. */
    private AllowedRegions allowedRegions() {
        AllowedRegions routeRegions = route.allowedRegions();
        return tenant().map(tenant -> routeRegions.and(tenant.homes())).orElse(routeRegions);
    }

    /**
     * Asks for an engine.
     *
     * @param attemptedEngines engines that are not to be asked again
     * @param weightVersion the weights that a stream is to go on with, below 0 if any will do
     * @param waitedMs how long it has waited for capacity
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

    /** What its rule says of the choice of an engine; null where it says nothing, so that all is as without rules. */
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

    /** True for a stream that is passed on only when it is whole, as the node may end before: it must not be cut then. */
    boolean isBufferedUntilComplete() {
        return mayOutliveNode && isStreaming();
    }

    RetryPolicy retryPolicy() {
        return new RetryPolicy(route.repeatable(), route.resumable(), route.maxAttempts());
    }

    /** What identifies the shared part of its prompt on every node, 0 if it shares none worth going back for. */
    long affinityKey() {
        return affinity.hash();
    }

    /** Tokens of its prompt that are shared with other requests. */
    int sharedTokens() {
        return affinity.sharedTokens();
    }

    /** Tokens of its prompt that are its own. */
    int ownTokens() {
        return Math.max(0, promptTokens - affinity.sharedTokens());
    }

    private String header(String name, String defaultValue) {
        String value = request.getHeaders().get(name);
        return value == null ? defaultValue : value;
    }
}
