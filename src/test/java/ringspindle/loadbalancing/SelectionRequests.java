package ringspindle.loadbalancing;

import java.util.Set;
import ringspindle.config.AllowedRegions;
import ringspindle.loadbalancing.LoadBalancer.RoutingPreference;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.routing.CostWeights;

/**
 * Builds selection requests for tests. By default any region and any weights version may serve them, and no serving
 * rule applies.
 *
 * <pre>{@code
 * SelectionRequests.of("s").prompt(4711, 13_000, 3000).output(100).build();
 * }</pre>
 */
public final class SelectionRequests {
    private final String service;
    private AllowedRegions allowedRegions = AllowedRegions.ANY;
    private long affinityKey;
    private int sharedPrefixTokens;
    private int uncachedTokens;
    private int outputTokens;
    private Set<String> excludedEngineIds = Set.of();
    private long weightsVersion = -1;
    private long random = 1;
    private RoutingPreference preference;

    private SelectionRequests(String service) {
        this.service = service;
    }

    /** Starts a request to that service. */
    public static SelectionRequests of(String service) {
        return new SelectionRequests(service);
    }

    /** Sets the regions that may serve the request; an empty set allows all. */
    public SelectionRequests allowedRegions(Set<String> names) {
        allowedRegions = names.isEmpty() ? AllowedRegions.ANY : new AllowedRegions.Only(names);
        return this;
    }

    /**
     * Sets the affinity key of the shared prefix, 0 for none, and the tokens of the prefix and of the rest of the
     * prompt.
     */
    public SelectionRequests prompt(long key, int sharedPrefix, int uncached) {
        affinityKey = key;
        sharedPrefixTokens = sharedPrefix;
        uncachedTokens = uncached;
        return this;
    }

    /** Sets the expected tokens of the response. */
    public SelectionRequests output(int tokens) {
        outputTokens = tokens;
        return this;
    }

    /** Sets the engines that must not be selected. */
    public SelectionRequests excluding(Set<String> engineIds) {
        excludedEngineIds = engineIds;
        return this;
    }

    /** Sets the version of the model weights that the engine must run; negative for any. */
    public SelectionRequests weightsVersion(long version) {
        weightsVersion = version;
        return this;
    }

    /** Sets the random bits, for tie-breaking and sampling. */
    public SelectionRequests random(long value) {
        random = value;
        return this;
    }

    /** Sets the preference of a serving rule; null for none. */
    public SelectionRequests preference(RoutingPreference value) {
        preference = value;
        return this;
    }

    /** Builds the request, with the default cost weights. */
    public SelectionRequest build() {
        return new SelectionRequest(
                service,
                allowedRegions,
                affinityKey,
                sharedPrefixTokens,
                uncachedTokens,
                outputTokens,
                excludedEngineIds,
                weightsVersion,
                random,
                preference,
                CostWeights.DEFAULT);
    }
}
