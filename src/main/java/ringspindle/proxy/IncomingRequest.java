package ringspindle.proxy;

import org.eclipse.jetty.server.Request;
import ringspindle.config.FleetConfig;
import ringspindle.tenancy.Identity;

/**
 * A client's request whose head was read and found proper; its body is still to come.
 *
 * @param client where its answer goes
 * @param attemptId the client's id of this try
 * @param receivedMs when the head had come, on the steady clock
 * @param timeLimitMs how long it may take from then on
 * @param identity who sends it: a tenant, or anyone
 * @param mayOutliveNode the node may end before that time is over
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
