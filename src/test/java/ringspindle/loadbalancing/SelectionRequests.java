package ringspindle.loadbalancing;

import java.util.Set;
import ringspindle.config.AllowedRegions;
import ringspindle.loadbalancing.LoadBalancer.RoutingPreference;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.routing.CostWeights;

/**
 * Requests for an engine as tests make them: any region may serve them, by any weights, and no serving rule applies.
 *
 * <pre>{@code
 * SelectionRequests.of("s").prompt(4711, 13_000, 3000).output(100).build();
 * }</pre>
 */
public final class SelectionRequests {
    private final String service;
    private AllowedRegions allowed = AllowedRegions.ANY;
    private long affinityKey;
    private int sharedTokens;
    private int ownTokens;
    private int outputTokens;
    private Set<String> excluded = Set.of();
    private long weights = -1;
    private long random = 1;
    private RoutingPreference preference;

    private SelectionRequests(String service) {
        this.service = service;
    }

    /** A request to that service. */
    public static SelectionRequests of(String service) {
        return new SelectionRequests(service);
    }

    /** The regions that may serve it; none for any. */
    public SelectionRequests allowedRegions(Set<String> homes) {
        allowed = homes.isEmpty() ? AllowedRegions.ANY : new AllowedRegions.Only(homes);
        return this;
    }

    /** What its prompt shares with others under that key, 0 for none, and what is its own. */
    public SelectionRequests prompt(long key, int shared, int own) {
        affinityKey = key;
        sharedTokens = shared;
        ownTokens = own;
        return this;
    }

    /** Tokens of its answer. */
    public SelectionRequests output(int tokens) {
        outputTokens = tokens;
        return this;
    }

    /** Engines that must not be chosen. */
    public SelectionRequests excluding(Set<String> engineIds) {
        excluded = engineIds;
        return this;
    }

    /** The version of the weights that must serve it, negative for any. */
    public SelectionRequests weightsVersion(long version) {
        weights = version;
        return this;
    }

    /** What ties are broken by. */
    public SelectionRequests random(long value) {
        random = value;
        return this;
    }

    /** What a serving rule says, null for none. */
    public SelectionRequests preference(RoutingPreference ofRule) {
        preference = ofRule;
        return this;
    }

    /** The request, compared by the ordinary weights of costs. */
    public SelectionRequest build() {
        return new SelectionRequest(
                service,
                allowed,
                affinityKey,
                sharedTokens,
                ownTokens,
                outputTokens,
                excluded,
                weights,
                random,
                preference,
                CostWeights.DEFAULT);
    }
}
