package ringspindle.routing;

import java.util.List;

/**
 * One serving rule. Its name is the class that its requests are counted under.
 *
 * @param rank 0 is served first; {@link #UNSET_RANK} for the route's own priority
 * @param share share of each engine's capacity that is reserved for this class, 0 to 1
 * @param waitMs how long a request may wait for capacity, in ms; {@link #UNSET_WAIT_MS} for as long as without rules
 * @param affinity what requests are kept together by; null for as without rules
 * @param whenBusy where to go while the holder of the prefix has no capacity; empty for as without rules
 * @param whenUnavailable where to go while the holder is draining, unhealthy, evacuated or warming up; empty for as without
 *     rules
 */
public record ServingRule(
        String name,
        RequestMatcher match,
        int rank,
        double share,
        int waitMs,
        Affinity affinity,
        List<FallbackTarget> whenBusy,
        List<FallbackTarget> whenUnavailable) {
    /** Rank of a rule that leaves it to the route. Any rank below 0 means so. */
    public static final int UNSET_RANK = -1;
    /** Wait of a rule that says nothing of it. Any wait below 0 means so. */
    public static final int UNSET_WAIT_MS = -1;
}
