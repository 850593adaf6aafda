package ringspindle.routing;

import java.util.List;

/**
 * One serving rule; its name is the class its requests are counted under.
 *
 * @param rank 0 is served first; below 0 for the route's own priority
 * @param share of every engine's places that are kept for this class
 * @param waitMs how long a request may wait for a place; below 0 for as long as without rules
 * @param affinity null as without rules
 * @param busy where to go when the holder has no place; empty as without rules
 * @param gone where to go when the holder is draining, ill, evacuated or cold; empty as without rules
 */
public record ServingRule(
        String name,
        RequestMatcher match,
        int rank,
        double share,
        int waitMs,
        Affinity affinity,
        List<FallbackTarget> busy,
        List<FallbackTarget> gone) {}
