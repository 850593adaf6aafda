package ringspindle.routing;

import java.util.List;

/**
 * A place to go to when the holder is busy or gone.
 *
 * @param regions for {@link To#REGIONS} which
 * @param waitMs how much longer the request waits for what came before, until it may go here
 */
public record FallbackTarget(To to, List<String> regions, int waitMs) {
    /** Where to. */
    public enum To {
        /** The engine that would hold it if the holder were not there. */
        NEXT,
        ZONE,
        REGION,
        REGIONS,
        ANY
    }
}
