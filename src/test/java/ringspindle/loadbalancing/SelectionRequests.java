package ringspindle.loadbalancing;

import java.util.Set;
import ringspindle.config.AllowedRegions;
import ringspindle.loadbalancing.LoadBalancer.RoutingPreference;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.routing.CostWeights;

/** Requests for an engine as tests make them: compared by the ordinary weights. */
public final class SelectionRequests {
    private SelectionRequests() {}

    /** A request to which no serving rule applies; without homes any region may serve it. */
    public static SelectionRequest of(
            String service,
            Set<String> homes,
            long affinityKey,
            int sharedPrefixTokens,
            int uncachedTokens,
            int outputTokens,
            Set<String> excludedEngineIds,
            long weightsVersion,
            long random) {
        return of(
                service,
                homes,
                affinityKey,
                sharedPrefixTokens,
                uncachedTokens,
                outputTokens,
                excludedEngineIds,
                weightsVersion,
                random,
                null);
    }

    /** A request to which a serving rule applies that says this, null for none. */
    public static SelectionRequest of(
            String service,
            Set<String> homes,
            long affinityKey,
            int sharedPrefixTokens,
            int uncachedTokens,
            int outputTokens,
            Set<String> excludedEngineIds,
            long weightsVersion,
            long random,
            RoutingPreference preference) {
        return new SelectionRequest(
                service,
                homes.isEmpty() ? AllowedRegions.ANY : new AllowedRegions.Only(homes),
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
