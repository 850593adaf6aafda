package ringspindle.proxy;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LazyArgs;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.experiment.Assignment;
import ringspindle.logging.LogField;
import ringspindle.tenancy.Identity;

/**
 * Admits client requests: matches them to routes, validates their headers, reads their bodies and starts those that are
 * admitted. Thread safe and stateless.
 */
final class RequestAdmission {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Typical time for a node that has just started to receive the configuration in force; sent as Retry-After. */
    private static final int NOT_READY_RETRY_MS = 1000;

    private final ProxyHandler proxy;
    private final ActiveRequests activeRequests;
    private final ExperimentOutcomes experiments;
    private final StateFreshness stateFreshness;
    private final JobAdmission jobAdmission;
    private final CallerIdentification callerIdentification;

    /**
     * Creates the admission of a proxy.
     *
     * @param stateFreshness logged when no route matches a request
     * @param jobAdmission handles batch jobs
     * @param callerIdentification identifies the sender of a request
     */
    RequestAdmission(
            ProxyHandler proxy,
            ActiveRequests activeRequests,
            ExperimentOutcomes experiments,
            StateFreshness stateFreshness,
            JobAdmission jobAdmission,
            CallerIdentification callerIdentification) {
        this.jobAdmission = jobAdmission;
        this.callerIdentification = callerIdentification;
        this.proxy = proxy;
        this.activeRequests = activeRequests;
        this.experiments = experiments;
        this.stateFreshness = stateFreshness;
    }

    /** Handles a request whose headers were received. */
    void handle(Request request, ClientResponse client) {
        long receivedMs = proxy.nowMs();
        FleetConfig current = proxy.configurationInForce();
        if (current == null) {
            client.respond(Outcome.NOT_READY, NOT_READY_RETRY_MS, proxy.isShuttingDown());
            return;
        }
        if (jobAdmission.handle(request, client, current)) {
            return;
        }
        String host = request.getHeaders().get(HttpHeader.HOST);
        FleetConfig.Route route = current.find(host, request.getHttpURI().getPath());
        if (route == null) {
            logUnmappedRequest(request, current);
            client.respond(Outcome.NO_MAPPING, 0, proxy.isShuttingDown());
            return;
        }
        Identity identity = callerIdentification.identify(request, current, route, receivedMs);
        if (identity instanceof Identity.Unknown) {
            client.respond(Outcome.UNAUTHORIZED, 0, proxy.isShuttingDown());
        } else if (identity instanceof Identity.Uncertain) {
            client.respond(Outcome.UNCLEAR, NOT_READY_RETRY_MS, proxy.isShuttingDown());
        } else {
            validateHeaders(request, client, route, identity, receivedMs);
        }
    }

    private void validateHeaders(
            Request request, ClientResponse client, FleetConfig.Route route, Identity identity, long receivedMs) {
        String attemptId = request.getHeaders().get(Headers.ATTEMPT_ID);
        if (attemptId == null || attemptId.isEmpty()) {
            client.respond(Outcome.MALFORMED, 0, proxy.isShuttingDown());
            return;
        }
        long timeLimitMs;
        try {
            timeLimitMs =
                    RequestTimeLimits.timeLimitMs(route, request.getHeaders().get(Headers.DEADLINE_MS));
        } catch (NumberFormatException notANumber) {
            client.respond(Outcome.MALFORMED, 0, proxy.isShuttingDown());
            return;
        }
        boolean mayOutliveNode = proxy.mayBeOutlivedBy(receivedMs, timeLimitMs);
        if (mayOutliveNode && !proxy.isLastInRegion()) {
            refuseDuringShutdown(client);
            return;
        }
        IncomingRequest incoming = new IncomingRequest(
                request, client, route, attemptId, receivedMs, timeLimitMs, identity, mayOutliveNode);
        readBody(incoming, proxy.configurationInForce().limits().bodyBytes());
    }

    private void refuseDuringShutdown(ClientResponse client) {
        client.respond(Outcome.LEAVING, proxy.shutdownRetryAfterMs(), true);
    }

    /** Logs how current this node's state is: a newer configuration might have a route for the request. */
    private void logUnmappedRequest(Request request, FleetConfig current) {
        LOG.atInfo()
                .atMostEvery(1, TimeUnit.SECONDS)
                .with(LogField.REQUEST, request.getHeaders().get(Headers.ATTEMPT_ID))
                .with(LogField.REVISION, current.revision())
                .log("no mapping for a request: %s", LazyArgs.lazy(stateFreshness::describe));
    }

    private void readBody(IncomingRequest incoming, int maxBytes) {
        ClientResponse client = incoming.client();
        BodyDeadline deadline = new BodyDeadline(() -> client.respond(Outcome.NO_TIME, 0, true));
        new BoundedBody(
                        incoming.request(),
                        maxBytes,
                        body -> {
                            if (deadline.markMet()) {
                                admit(incoming, body);
                            }
                        },
                        failure -> {
                            if (deadline.markMet()) {
                                client.abort(failure);
                            }
                        })
                .run();
        if (!deadline.isMet()) {
            deadline.setTimer(proxy.schedule(deadline::expire, Math.max(1, incoming.timeLimitMs())));
        }
    }

    /** Admits a request whose body was read in time; the body is null if it is too large. */
    private void admit(IncomingRequest incoming, byte[] body) {
        if (body == null) {
            incoming.client().respond(Outcome.TOO_LARGE, 0, proxy.isShuttingDown());
            return;
        }
        if (incoming.route().kind() == FleetConfig.Kind.BATCH) {
            jobAdmission.submit(incoming, body);
            return;
        }
        if (!activeRequests.begin()) {
            refuseDuringShutdown(incoming.client());
            return;
        }
        if (incoming.identity() instanceof Identity.Known known
                && known.tenant().isLimited()) {
            new QuotaCheck(proxy, activeRequests, incoming, () -> begin(incoming, body)).start(known.tenant());
        } else {
            begin(incoming, body);
        }
    }

    /** Starts a request that is already counted as active. */
    private void begin(IncomingRequest incoming, byte[] body) {
        long nowMs = proxy.nowMs();
        String service = RouteSplit.selectService(incoming.route(), incoming.attemptId());
        String promptPrefix = incoming.request().getHeaders().get(Headers.PROMPT_PREFIX);
        Optional<Assignment> assignment = experiments.assign(incoming.route(), promptPrefix, nowMs);
        proxy.loadBalancer().onRequestReceived(service, nowMs);
        AdmittedRequest admitted = new AdmittedRequest(incoming, body, service, proxy.rules(), assignment);
        ProxiedRequest proxied = new ProxiedRequest(proxy, admitted, incoming.client());
        experiments.begin(proxied.actionId(), admitted, incoming.client(), proxy.clock());
        activeRequests.track(proxied.actionId(), proxied);
        proxied.start();
    }
}
