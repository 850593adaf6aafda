package ringspindle.routing;

import java.util.List;

/**
 * Engines that may serve a request while the engine holding its prefix is busy or unavailable.
 *
 * @param regions regions for {@link Scope#REGIONS}, empty for any other scope
 * @param waitMs time to wait after the previous target before trying this one, in ms
 */
public record FallbackTarget(Scope scope, List<String> regions, int waitMs) {
    /** Set of eligible engines. Rules documents and command output use the names in lower case. */
    public enum Scope {
        /** The engine that would hold the prefix if the current holder were absent. */
        NEXT,
        /** Engines in this node's zone. */
        ZONE,
        /** Engines in this node's region. */
        REGION,
        /** Engines in the regions listed in the target. */
        REGIONS,
        /** Any engine. */
        ANY
    }
}
