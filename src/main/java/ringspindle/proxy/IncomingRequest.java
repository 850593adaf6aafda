package ringspindle.proxy;

import org.eclipse.jetty.server.Request;
import ringspindle.config.FleetConfig;
import ringspindle.tenancy.Identity;

/**
 * A client request whose headers were validated and whose body is not read yet.
 *
 * @param client receives the response
 * @param attemptId the client's id of this attempt
 * @param receivedMs when the headers were received, on the monotonic clock
 * @param timeLimitMs time limit of the request, counted from {@code receivedMs}
 * @param identity the caller: a tenant, or anyone
 * @param mayOutliveNode true if the node may terminate before the time limit
 */
record IncomingRequest(
        Request request,
        ClientResponse client,
        FleetConfig.Route route,
        String attemptId,
        long receivedMs,
        long timeLimitMs,
        Identity identity,
        boolean mayOutliveNode) {}
