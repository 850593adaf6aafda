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
 * Takes clients' requests: matches them to routes, checks what their heads say, reads their bodies, and begins those that may
 * run. Thread safe; without state of its own.
 */
final class RequestAdmission {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Default: about how long a node that has just started takes until it holds what is in force. */
    private static final int NOT_READY_MS = 1000;

    private final ProxyHandler proxy;
    private final ActiveRequests active;
    private final ExperimentOutcomes experiments;
    private final Knowledge knowledge;
    private final JobAdmission jobs;
    private final CallerIdentification callers;

    /**
     * Admission to that proxy.
     *
     * @param knowledge what a refusal for want of a route rests on
     * @param jobs where batch jobs go
     * @param callers tells who sends a request
     */
    RequestAdmission(
            ProxyHandler proxy,
            ActiveRequests active,
            ExperimentOutcomes experiments,
            Knowledge knowledge,
            JobAdmission jobs,
            CallerIdentification callers) {
        this.jobs = jobs;
        this.callers = callers;
        this.proxy = proxy;
        this.active = active;
        this.experiments = experiments;
        this.knowledge = knowledge;
    }

    /** A request's head has come. */
    void handle(Request request, ClientResponse client) {
        long receivedMs = proxy.nowMs();
        FleetConfig current = proxy.configurationInForce();
        if (current == null) {
            client.respond(Outcome.NOT_READY, NOT_READY_MS, proxy.isLeaving());
            return;
        }
        if (jobs.handle(request, client, current)) {
            return;
        }
        String host = request.getHeaders().get(HttpHeader.HOST);
        FleetConfig.Route route = current.find(host, request.getHttpURI().getPath());
        if (route == null) {
            logNoMapping(request, current);
            client.respond(Outcome.NO_MAPPING, 0, proxy.isLeaving());
            return;
        }
        Identity identity = callers.identify(request, current, route, receivedMs);
        if (identity instanceof Identity.Unknown) {
            client.respond(Outcome.UNAUTHORIZED, 0, proxy.isLeaving());
        } else if (identity instanceof Identity.Uncertain) {
            client.respond(Outcome.UNCLEAR, NOT_READY_MS, proxy.isLeaving());
        } else {
            readHead(request, client, route, identity, receivedMs);
        }
    }

    private void readHead(
            Request request, ClientResponse client, FleetConfig.Route route, Identity identity, long receivedMs) {
        String attemptId = request.getHeaders().get(Headers.ATTEMPT_ID);
        if (attemptId == null || attemptId.isEmpty()) {
            client.respond(Outcome.MALFORMED, 0, proxy.isLeaving());
            return;
        }
        long timeLimitMs;
        try {
            timeLimitMs =
                    RequestTimeLimits.timeLimitMs(route, request.getHeaders().get(Headers.DEADLINE_MS));
        } catch (NumberFormatException notANumber) {
            client.respond(Outcome.MALFORMED, 0, proxy.isLeaving());
            return;
        }
        boolean mayOutliveNode = proxy.mayBeOutlivedBy(receivedMs, timeLimitMs);
        if (mayOutliveNode && !proxy.servesAsLast()) {
            refuseAsLeaving(client);
            return;
        }
        Arrival arrival =
                new Arrival(request, client, route, attemptId, receivedMs, timeLimitMs, identity, mayOutliveNode);
        readBody(arrival, proxy.configurationInForce().limits().bodyBytes());
    }

    private void refuseAsLeaving(ClientResponse client) {
        client.respond(Outcome.LEAVING, proxy.retryAfterLeavingMs(), true);
    }

    /** A proper request may be refused so only as long as no newer configuration allows it: says what the answer rests on. */
    private void logNoMapping(Request request, FleetConfig current) {
        LOG.atInfo()
                .atMostEvery(1, TimeUnit.SECONDS)
                .with(LogField.REQUEST, request.getHeaders().get(Headers.ATTEMPT_ID))
                .with(LogField.REVISION, current.revision())
                .log("no mapping for a request: %s", LazyArgs.lazy(knowledge::describe));
    }

    private void readBody(Arrival arrival, int bytesMax) {
        ClientResponse client = arrival.client();
        BodyDeadline deadline = new BodyDeadline(() -> client.respond(Outcome.NO_TIME, 0, true));
        new BoundedBody(
                        arrival.request(),
                        bytesMax,
                        body -> {
                            if (deadline.markMet()) {
                                admit(arrival, body);
                            }
                        },
                        failure -> {
                            if (deadline.markMet()) {
                                client.abort(failure);
                            }
                        })
                .run();
        if (!deadline.isMet()) {
            deadline.setTimer(proxy.schedule(deadline::expire, Math.max(1, arrival.timeLimitMs())));
        }
    }

    /** The body has come in time; null if it is too large. */
    private void admit(Arrival arrival, byte[] body) {
        if (body == null) {
            arrival.client().respond(Outcome.TOO_LARGE, 0, proxy.isLeaving());
            return;
        }
        if (arrival.route().kind() == FleetConfig.Kind.BATCH) {
            jobs.submit(arrival, body);
            return;
        }
        if (!active.begin()) {
            refuseAsLeaving(arrival.client());
            return;
        }
        if (arrival.identity() instanceof Identity.Known known && known.tenant().isLimited()) {
            new QuotaCheck(proxy, active, arrival, () -> begin(arrival, body)).start(known.tenant());
        } else {
            begin(arrival, body);
        }
    }

    /** The request counts as active. */
    private void begin(Arrival arrival, byte[] body) {
        long nowMs = proxy.nowMs();
        String service = RouteSplit.service(arrival.route(), arrival.attemptId());
        String promptPrefix = arrival.request().getHeaders().get(Headers.PROMPT_PREFIX);
        Optional<Assignment> assignment = experiments.assign(arrival.route(), promptPrefix, nowMs);
        proxy.loadBalancer().onRequestReceived(service, nowMs);
        AdmittedRequest admitted = new AdmittedRequest(arrival, body, service, proxy.rules(), assignment);
        ProxiedRequest proxied = new ProxiedRequest(proxy, admitted, arrival.client());
        experiments.begin(proxied.actionId(), admitted, arrival.client(), proxy.clock());
        active.track(proxied.actionId(), proxied);
        proxied.start();
    }
}
