package ringspindle.proxy;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Fields;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.JobCallKind;
import ringspindle.protocol.JobStatus;
import ringspindle.shard.ShardAssignment;

/**
 * Handles client requests about batch jobs: submissions on batch routes, and reads and terminations by job id. Each is
 * forwarded to the leader of the job's shard; this node stores no state of the job. Thread safe.
 */
final class JobAdmission {
    /** Timeout for the shard leader's reply to a submission or a termination. */
    private static final int WRITE_TIMEOUT_MS = 4000;
    /** Timeout for the shard leader's reply to a read, in addition to the client's poll wait. */
    private static final int READ_TIMEOUT_MS = 1200;
    /** Upper bound of the time for which a read waits for a result. */
    private static final int POLL_WAIT_MAX_MS = 2000;
    /** Retry delay that a rejected client is told. */
    private static final int RETRY_AFTER_MS = 400;

    private static final byte[] NO_BODY = {};
    private static final String JSON_TYPE = "application/json";
    private static final String BYTES_TYPE = "application/octet-stream";

    private final ProxyHandler proxy;
    private final ActiveRequests active;

    JobAdmission(ProxyHandler proxy, ActiveRequests active) {
        this.proxy = proxy;
        this.active = active;
    }

    /** A client request in progress; only the first response to it is sent. */
    private final class Exchange implements ActiveRequests.Cancellable {
        private final String actionId = proxy.nextActionId();
        private final ClientResponse client;
        private final AtomicBoolean ended = new AtomicBoolean();
        /** The response if it is unknown whether the call was or will be carried out. */
        private final Outcome indeterminateOutcome;

        Exchange(ClientResponse client, Outcome indeterminateOutcome) {
            this.client = client;
            this.indeterminateOutcome = indeterminateOutcome;
        }

        /** Starts to track the request; returns false, after rejecting it, if the node is shutting down. */
        boolean begin() {
            if (!active.begin()) {
                client.respond(Outcome.LEAVING, proxy.shutdownRetryAfterMs(), true);
                return false;
            }
            active.track(actionId, this);
            return true;
        }

        void respond(Outcome outcome) {
            if (ended.compareAndSet(false, true)) {
                active.end(actionId);
                client.respond(outcome, RETRY_AFTER_MS, proxy.isShuttingDown());
            }
        }

        void respond(String contentType, byte[] body) {
            if (ended.compareAndSet(false, true)) {
                active.end(actionId);
                client.respond(contentType, body, proxy.isShuttingDown());
            }
        }

        @Override
        public void onNodeTermination() {
            respond(indeterminateOutcome);
        }
    }

    /** Forwards a job that was completely received on a batch route. */
    void submit(IncomingRequest incoming, byte[] body) {
        Exchange exchange = new Exchange(incoming.client(), Outcome.UNCONFIRMED);
        if (!proxy.services().jobs().isAvailable()) {
            incoming.client().respond(Outcome.NO_BATCHES, RETRY_AFTER_MS, proxy.isShuttingDown());
            return;
        }
        if (!exchange.begin()) {
            return;
        }
        FleetConfig.Route route = incoming.route();
        String tenant = "";
        JobCall call = new JobCall(
                0,
                JobCallKind.SUBMIT.code(),
                ShardAssignment.shardOf(tenant, route.name()),
                0,
                0,
                incoming.attemptId(),
                "",
                route.name(),
                host(incoming.request()),
                tenant,
                body);
        proxy.services()
                .jobs()
                .call(call, WRITE_TIMEOUT_MS, (status, reply) -> exchange.respond(submissionOutcome(status)));
    }

    private static Outcome submissionOutcome(JobStatus status) {
        return switch (status) {
            case DONE -> Outcome.ACCEPTED;
            case INVALID -> Outcome.INVALID;
            case OVER_QUOTA -> Outcome.OVER_QUOTA;
            case FULL -> Outcome.STORE_FULL;
            case NOT_LEADER -> Outcome.NO_BATCHES;
            case NO_SUCH, UNCLEAR, UNKNOWN -> Outcome.UNCONFIRMED;
        };
    }

    private static String host(Request request) {
        String host = request.getHeaders().get(HttpHeader.HOST);
        return host == null ? "" : host;
    }

    /** Handles a request about a job by its id; returns false, without a response, for any other request. */
    boolean handle(Request request, ClientResponse client, FleetConfig configuration) {
        Optional<JobPath> path = JobPath.of(request.getHttpURI().getPath());
        if (path.isEmpty()) {
            return false;
        }
        if (!proxy.services().jobs().isAvailable()) {
            boolean hasBatchRoutes = !configuration.batchRoutes(host(request)).isEmpty();
            if (hasBatchRoutes) {
                client.respond(Outcome.UNCLEAR, RETRY_AFTER_MS, proxy.isShuttingDown());
            }
            return hasBatchRoutes;
        }
        Optional<JobCallKind> kind = callKind(request.getMethod(), path.get());
        if (kind.isEmpty()) {
            client.respond(Outcome.NO_SUCH, 0, proxy.isShuttingDown());
            return true;
        }
        Exchange exchange = new Exchange(client, kind.get() == JobCallKind.END ? Outcome.UNCONFIRMED : Outcome.UNCLEAR);
        if (exchange.begin()) {
            new ShardSearch(exchange, kind.get(), path.get(), request, configuration).queryNextShard();
        }
        return true;
    }

    private static Optional<JobCallKind> callKind(String method, JobPath path) {
        if (HttpMethod.GET.is(method)) {
            return Optional.of(path.isItem() ? JobCallKind.ITEM : JobCallKind.RESULTS);
        }
        return HttpMethod.DELETE.is(method) && !path.isItem() ? Optional.of(JobCallKind.END) : Optional.empty();
    }

    /**
     * Looks a job up by its id, shard by shard until one knows it. The shards of the host's batch routes are asked
     * first, because they are the most likely to have it.
     */
    private final class ShardSearch {
        private final Exchange exchange;
        private final JobCallKind kind;
        private final JobPath path;
        private final long position;
        private final String itemId;
        private final int pollWaitMs;
        private final Iterator<Integer> shards;

        ShardSearch(Exchange exchange, JobCallKind kind, JobPath path, Request request, FleetConfig configuration) {
            this.exchange = exchange;
            this.kind = kind;
            this.path = path;
            Fields query = Request.extractQueryParameters(request);
            position = parseNonNegative(query.getValue("afterRevision"));
            String instanceId = query.getValue("instanceId");
            itemId = instanceId == null ? "" : instanceId;
            pollWaitMs = (int) Math.min(
                    POLL_WAIT_MAX_MS, parseNonNegative(request.getHeaders().get(Headers.POLL_WAIT_MS)));
            Set<Integer> searchOrder = new LinkedHashSet<>();
            configuration
                    .batchRoutes(host(request))
                    .forEach(route -> searchOrder.add(ShardAssignment.shardOf("", route.name())));
            for (int shard = 0; shard < ShardAssignment.SHARDS; shard++) {
                searchOrder.add(shard);
            }
            shards = searchOrder.iterator();
        }

        void queryNextShard() {
            if (!shards.hasNext()) {
                exchange.respond(Outcome.NO_SUCH);
                return;
            }
            JobCall call = new JobCall(
                    0, kind.code(), shards.next(), position, pollWaitMs, path.id(), itemId, "", "", "", NO_BODY);
            int timeoutMs = kind == JobCallKind.END ? WRITE_TIMEOUT_MS : READ_TIMEOUT_MS + pollWaitMs;
            proxy.services().jobs().call(call, timeoutMs, this::onReply);
        }

        private void onReply(JobStatus status, byte[] body) {
            switch (status) {
                case DONE -> exchange.respond(kind == JobCallKind.ITEM ? BYTES_TYPE : JSON_TYPE, body);
                case NO_SUCH -> queryNextShard();
                default -> exchange.respond(exchange.indeterminateOutcome);
            }
        }
    }

    /** Parses a non-negative number; returns 0 for null, a negative number or any other text. */
    private static long parseNonNegative(String text) {
        try {
            return text == null ? 0 : Math.max(0, Long.parseLong(text.trim()));
        } catch (NumberFormatException notANumber) {
            return 0;
        }
    }
}
