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
    private static final int CHANGE_MS = 4000;
    /** Default: for how long a reading does, beside what the client allows it to be held. */
    private static final int READ_MS = 1200;
    /** The longest that a reading is held for a result. */
    private static final int HELD_MAX_MS = 2000;
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
        private final Outcome ifCut;

        Exchange(ClientResponse client, Outcome ifCut) {
            this.client = client;
            this.ifCut = ifCut;
        }

        /** False if the node ends. */
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

        void respond(String type, byte[] body) {
            if (ended.compareAndSet(false, true)) {
                active.end(actionId);
                client.respond(type, body, proxy.isShuttingDown());
            }
        }

        @Override
        public void onNodeTermination() {
            respond(ifCut);
        }
    }

    /** Passes a job on that came whole on a batch route. */
    void submit(IncomingRequest incoming, byte[] body) {
        Exchange exchange = new Exchange(incoming.client(), Outcome.UNCONFIRMED);
        if (!proxy.services().jobs().isOpen()) {
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
        proxy.services().jobs().call(call, CHANGE_MS, (status, reply) -> exchange.respond(submitted(status)));
    }

    private static Outcome submitted(JobStatus status) {
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
        if (!proxy.services().jobs().isOpen()) {
            boolean mayBeThere = !configuration.batchRoutes(host(request)).isEmpty();
            if (mayBeThere) {
                client.respond(Outcome.UNCLEAR, RETRY_AFTER_MS, proxy.isShuttingDown());
            }
            return mayBeThere;
        }
        Optional<JobCallKind> kind = kind(request.getMethod(), path.get());
        if (kind.isEmpty()) {
            client.respond(Outcome.NO_SUCH, 0, proxy.isShuttingDown());
            return true;
        }
        Exchange exchange = new Exchange(client, kind.get() == JobCallKind.END ? Outcome.UNCONFIRMED : Outcome.UNCLEAR);
        if (exchange.begin()) {
            new Search(exchange, kind.get(), path.get(), request, configuration).next();
        }
        return true;
    }

    private static Optional<JobCallKind> kind(String method, JobPath path) {
        if (HttpMethod.GET.is(method)) {
            return Optional.of(path.isItem() ? JobCallKind.ITEM : JobCallKind.RESULTS);
        }
        return HttpMethod.DELETE.is(method) && !path.isItem() ? Optional.of(JobCallKind.END) : Optional.empty();
    }

    /** Asks the shards that may keep a job, the likely ones first, until one knows it. */
    private final class Search {
        private final Exchange exchange;
        private final JobCallKind kind;
        private final JobPath path;
        private final long position;
        private final String item;
        private final int waitMs;
        private final Iterator<Integer> shards;

        Search(Exchange exchange, JobCallKind kind, JobPath path, Request request, FleetConfig configuration) {
            this.exchange = exchange;
            this.kind = kind;
            this.path = path;
            Fields query = Request.extractQueryParameters(request);
            position = number(query.getValue("afterRevision"));
            String named = query.getValue("instanceId");
            item = named == null ? "" : named;
            waitMs = (int) Math.min(HELD_MAX_MS, number(request.getHeaders().get(Headers.POLL_WAIT_MS)));
            Set<Integer> order = new LinkedHashSet<>();
            configuration
                    .batchRoutes(host(request))
                    .forEach(route -> order.add(ShardAssignment.shardOf("", route.name())));
            for (int shard = 0; shard < ShardAssignment.SHARDS; shard++) {
                order.add(shard);
            }
            shards = order.iterator();
        }

        void next() {
            if (!shards.hasNext()) {
                exchange.respond(Outcome.NO_SUCH);
                return;
            }
            JobCall call =
                    new JobCall(0, kind.code(), shards.next(), position, waitMs, path.id(), item, "", "", "", NO_BODY);
            int timeLimitMs = kind == JobCallKind.END ? CHANGE_MS : READ_MS + waitMs;
            proxy.services().jobs().call(call, timeLimitMs, this::replied);
        }

        private void replied(JobStatus status, byte[] body) {
            switch (status) {
                case DONE -> exchange.respond(kind == JobCallKind.ITEM ? BYTES_TYPE : JSON_TYPE, body);
                case NO_SUCH -> next();
                default -> exchange.respond(exchange.ifCut);
            }
        }
    }

    /** A number of 0 or more; 0 if there is none. */
    private static long number(String text) {
        try {
            return text == null ? 0 : Math.max(0, Long.parseLong(text.trim()));
        } catch (NumberFormatException notANumber) {
            return 0;
        }
    }
}
