package ringspindle.controlplane.fleet;

import java.util.List;

/**
 * The data nodes that a client is directed to: {@code new Resolution(Scope.ZONE, List.of("10.1.0.10:8161"))}.
 *
 * @param scope how near to the client the data nodes are
 * @param addresses where the data nodes accept requests, empty if the scope is {@link Scope#NOWHERE}
 */
public record Resolution(Scope scope, List<String> addresses) {
    /** No data node is available. */
    static final Resolution NOWHERE = new Resolution(Scope.NOWHERE, List.of());

    /** How near to the client the data nodes are; the nearest scope that has any is selected. */
    public enum Scope {
        /** In the client's zone. */
        ZONE,
        /** In the client's region. */
        REGION,
        /** In another region, which is a home region of all routes of the host that have home regions. */
        HOMES,
        /** In another region, because no route of the host has home regions. */
        ANYWHERE,
        /**
         * In the client's region, else in a home region: of the nodes that are shutting down, the one that serves
         * longest.
         */
        LEAVING,
        /** No data node is available. */
        NOWHERE
    }
}
