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
 * Takes clients' calls about batch jobs: submissions on batch routes, and readings and ends by a job's id. Each goes to the leader
 * of the job's shard; this node keeps nothing of it. Thread safe.
 */
final class JobAdmission {
    /** Default: for how long a submission or an end waits for its leader. */
    private static final int WRITE_TIMEOUT_MS = 4000;
    /** Default: for how long a reading does, beside what the client allows it to be held. */
    private static final int READ_TIMEOUT_MS = 1200;
    /** The longest that a reading is held for a result. */
    private static final int POLL_WAIT_MAX_MS = 2000;
    /** Default: when a client that was refused may come back. */
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

    /** One call on its way; whoever answers first ends it. */
    private final class Exchange implements ActiveRequests.Cancellable {
        private final String actionId = proxy.nextActionId();
        private final ClientResponse client;
        private final AtomicBoolean ended = new AtomicBoolean();
        private final Outcome indeterminateOutcome;

        Exchange(ClientResponse client, Outcome indeterminateOutcome) {
            this.client = client;
            this.indeterminateOutcome = indeterminateOutcome;
        }

        /** False if the node ends. */
        boolean begin() {
            if (!active.begin()) {
                client.respond(Outcome.LEAVING, proxy.retryAfterLeavingMs(), true);
                return false;
            }
            active.track(actionId, this);
            return true;
        }

        void respond(Outcome outcome) {
            if (ended.compareAndSet(false, true)) {
                active.end(actionId);
                client.respond(outcome, RETRY_AFTER_MS, proxy.isLeaving());
            }
        }

        void respond(String contentType, byte[] body) {
            if (ended.compareAndSet(false, true)) {
                active.end(actionId);
                client.respond(contentType, body, proxy.isLeaving());
            }
        }

        @Override
        public void onNodeEnds() {
            respond(indeterminateOutcome);
        }
    }

    /** Passes a job on that came whole on a batch route. */
    void submit(Arrival arrival, byte[] body) {
        Exchange exchange = new Exchange(arrival.client(), Outcome.UNCONFIRMED);
        if (!proxy.services().jobs().isAvailable()) {
            arrival.client().respond(Outcome.NO_BATCHES, RETRY_AFTER_MS, proxy.isLeaving());
            return;
        }
        if (!exchange.begin()) {
            return;
        }
        FleetConfig.Route route = arrival.route();
        String tenant = "";
        JobCall call = new JobCall(
                0,
                JobCallKind.SUBMIT.code(),
                ShardAssignment.shardOf(tenant, route.name()),
                0,
                0,
                arrival.attemptId(),
                "",
                route.name(),
                host(arrival.request()),
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

    /** Answers a call by a job's id; false if the request is none. */
    boolean handle(Request request, ClientResponse client, FleetConfig configuration) {
        Optional<JobPath> path = JobPath.of(request.getHttpURI().getPath());
        if (path.isEmpty()) {
            return false;
        }
        if (!proxy.services().jobs().isAvailable()) {
            boolean hasBatchRoutes = !configuration.batchRoutes(host(request)).isEmpty();
            if (hasBatchRoutes) {
                client.respond(Outcome.UNCLEAR, RETRY_AFTER_MS, proxy.isLeaving());
            }
            return hasBatchRoutes;
        }
        Optional<JobCallKind> kind = callKind(request.getMethod(), path.get());
        if (kind.isEmpty()) {
            client.respond(Outcome.NO_SUCH, 0, proxy.isLeaving());
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

    /** Asks the shards that may keep a job, the likely ones first, until one knows it. */
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

    /** A number of 0 or more; 0 if there is none. */
    private static long parseNonNegative(String text) {
        try {
            return text == null ? 0 : Math.max(0, Long.parseLong(text.trim()));
        } catch (NumberFormatException notANumber) {
            return 0;
        }
    }
}
