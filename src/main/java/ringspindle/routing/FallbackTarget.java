package ringspindle.routing;

import java.util.List;

/**
 * Where a request may go while the holder of its prefix is busy or unavailable.
 *
 * @param regions the regions of {@link Scope#REGIONS}, empty for every other scope
 * @param waitMs how long the request waits after the target before this one, in ms
 */
public record FallbackTarget(Scope scope, List<String> regions, int waitMs) {
    /** Which engines. The names are those of the rules document and of command output, in lower case. */
    public enum Scope {
        /** The engine that would hold the prefix if the holder were not there. */
        NEXT,
        /** Engines in this node's zone. */
        ZONE,
        /** Engines in this node's region. */
        REGION,
        /** Engines in the regions that the target names. */
        REGIONS,
        /** Any engine. */
        ANY
    }
}
