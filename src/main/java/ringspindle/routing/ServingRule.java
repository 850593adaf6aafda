package ringspindle.routing;

import java.util.List;

/**
 * A serving rule. Its name is the class under which its requests are counted.
 *
 * @param rank priority, 0 is served first; {@link #UNSET_RANK} uses the priority of the route
 * @param share share of each engine's capacity that is reserved for this class, 0 to 1
 * @param waitMs maximum wait for capacity, in ms; {@link #UNSET_WAIT_MS} uses the limit without rules
 * @param affinity prefix affinity; null uses the behavior without rules
 * @param whenBusy fallbacks while the engine holding the prefix has no capacity; empty uses the behavior without rules
 * @param whenUnavailable fallbacks while that engine is draining, unhealthy, evacuated or warming up; empty uses the
 *     behavior without rules
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
    /** Rank of a rule without its own; any negative value means unset. */
    public static final int UNSET_RANK = -1;
    /** Wait of a rule without its own; any negative value means unset. */
    public static final int UNSET_WAIT_MS = -1;
}
