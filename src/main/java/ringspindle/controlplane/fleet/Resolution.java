package ringspindle.controlplane.fleet;

import java.util.List;

/**
 * What a client is answered that asks where to go: {@code new Resolution(Scope.ZONE, List.of("10.1.0.10:8161"))}.
 *
 * @param scope how the data nodes were found
 * @param addresses where they take requests, empty if {@link Scope#NOWHERE}
 */
public record Resolution(Scope scope, List<String> addresses) {
    /** No data node can be named. */
    static final Resolution NOWHERE = new Resolution(Scope.NOWHERE, List.of());

    /** How near to the client the named data nodes are; the nearest that has any is chosen. */
    public enum Scope {
        /** In the client's zone. */
        ZONE,
        /** In the client's region. */
        REGION,
        /** In another region, which is a home of all routes of the host that have homes. */
        HOMES,
        /** In another region, as no route of the host has homes. */
        ANYWHERE,
        /** In the client's region, else in a home: the one that serves longest of those that are shutting down. */
        LEAVING,
        /** No data node can be named. */
        NOWHERE
    }
}
