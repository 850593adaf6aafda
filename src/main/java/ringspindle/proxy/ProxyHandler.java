package ringspindle.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.experiment.Assignment;
import ringspindle.experiment.ExperimentTable;
import ringspindle.experiment.OutcomeTable;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.logging.LogField;
import ringspindle.metrics.Metrics;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.NodeId;
import ringspindle.retry.Action;
import ringspindle.retry.CancelCause;
import ringspindle.retry.TerminalEvent;
import ringspindle.routing.RequestLedger;
import ringspindle.routing.ServingRules;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.LifeCycles;

/** The clients' side of a data node: takes requests, matches them to routes, and tells whether the node is ready. */
public final class ProxyHandler extends Handler.Abstract implements Action.Listener, Proxy {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** The longest request line with header fields that a client may send, in bytes. */
    static final int REQUEST_HEADERS_MAX = 32768;

    private static final String READINESS_PATH = "/ringspindle/readiness";
    private static final int QUEUE_PERIOD_MS = 20;
    /** Default: about how long a node that has just started takes until it holds what is in force. */
    private static final int NOT_READY_MS = 1000;

    private final NodeConfig node;
    private final LoadBalancer loadBalancer;
    private final HttpClient engineClient;
    private final EngineConnectionPool connections;
    private final EngineRequestFactory engineRequests;
    private final EngineHealthProber prober;
    private final ProxyServer server;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final QueuedThreadPool pool;
    private final WaitQueue queue = new WaitQueue();
    private final AtomicBoolean queueScheduled = new AtomicBoolean();
    private final AtomicLong actionIds = new AtomicLong();
    private final ActiveRequests active = new ActiveRequests();
    private final Map<String, LongAdder> endCounts = new ConcurrentHashMap<>();
    private final RequestLedger ledger = new RequestLedger();
    private final ExperimentOutcomes experiments = new ExperimentOutcomes();
    private volatile ServingRules rules;
    private volatile FleetConfig config;
    private volatile boolean confirmed;
    private volatile Departure departure;

    /**
     * A proxy that does not listen yet.
     *
     * @throws Exception if the client to engines cannot start
     */
    public ProxyHandler(
            NodeConfig node,
            LoadBalancer loadBalancer,
            QueuedThreadPool pool,
            Scheduler scheduler,
            MonotonicClock clock)
            throws Exception {
        // nothing here waits for anything, so requests are handled on the selector's thread without a change of threads
        super(InvocationType.NON_BLOCKING);
        this.node = node;
        this.loadBalancer = loadBalancer;
        this.pool = pool;
        this.scheduler = scheduler;
        this.clock = clock;
        engineClient = EngineHttpClient.start(pool, scheduler);
        connections = new EngineConnectionPool(engineClient, clock);
        engineRequests = new EngineRequestFactory(engineClient);
        prober = new EngineHealthProber(engineClient, loadBalancer, clock);
        server = ProxyServer.create(
                node.frontend().orElseThrow(), node.readiness().orElse(null), this, pool, scheduler);
    }

    /**
     * Listens; to be called once.
     *
     * @throws Exception if a port cannot be opened
     */
    public void open() throws Exception {
        server.start();
    }

    /** Serves figures at that address; before {@link #open}. */
    public void serveMetrics(NodeId address, Metrics metrics) {
        server.serveMetrics(address, metrics);
    }

    // ---- for the owner of what the node knows

    @Override
    public void updateConfiguration(FleetConfig newer) {
        FleetConfig current = config;
        if (current == null || newer.revision() > current.revision()) {
            config = newer;
            server.setIdleTimeout(newer.limits().idleMs());
        }
    }

    @Override
    public void updateRules(ServingRules newer) {
        ServingRules current = rules;
        if (current == null || newer.revision() > current.revision()) {
            rules = newer;
        }
    }

    @Override
    public LedgerReport ledgerReport(long life, long seq) {
        ServingRules current = rules;
        return ledger.report(
                life, seq, current == null ? 0 : current.revision(), current == null ? 0 : current.digest());
    }

    @Override
    public ExperimentTable experiments() {
        return experiments.experiments();
    }

    @Override
    public OutcomeTable outcomes() {
        return experiments.outcomes();
    }

    @Override
    public void markConfirmed() {
        confirmed = true;
    }

    @Override
    public boolean isReady() {
        return confirmed && config != null && !isLeaving();
    }

    @Override
    public void probeEngines() {
        prober.probe();
    }

    @Override
    public void closeIdleConnections() {
        connections.closeIdle(loadBalancer.knownEngineIds());
    }

    @Override
    public Map<String, Long> endCounts() {
        Map<String, Long> counts = new TreeMap<>();
        endCounts.forEach((end, count) -> counts.put(end, count.sum()));
        return counts;
    }

    // ---- the end of the node

    /**
     * Sends clients elsewhere in order: each answer ends its connection.
     *
     * @param endMs when {@link #close} will come, on the steady clock; what could last longer is soon refused
     */
    public void leave(long endMs) {
        departure = new Departure(clock.nowMs(), endMs);
    }

    /** Stops accepting connections, once clients had time to hear of it. */
    public void stopAccepting() {
        server.stopAccepting();
    }

    /** Requests under way. */
    public long active() {
        return active.count();
    }

    /**
     * Takes no request any more if none is under way; true if so. A request that comes on an open connection from then on is
     * refused as not run.
     */
    public boolean refuseIfIdle() {
        return active.closeIfNone();
    }

    /** Revision of the configuration in force, 0 while there is none. */
    public long configurationRevision() {
        FleetConfig current = config;
        return current == null ? 0 : current.revision();
    }

    /** Requests that wait for capacity. */
    public int waiting() {
        return queue.size();
    }

    /** Ends all that is under way. */
    public void close() {
        server.close();
        LifeCycles.stopQuietly(engineClient);
    }

    // ---- for requests

    LoadBalancer loadBalancer() {
        return loadBalancer;
    }

    EngineConnectionPool connections() {
        return connections;
    }

    EngineRequestFactory engineRequests() {
        return engineRequests;
    }

    RequestLedger ledger() {
        return ledger;
    }

    long nowMs() {
        return clock.nowMs();
    }

    boolean isLeaving() {
        return departure != null;
    }

    long nextRandom() {
        return ThreadLocalRandom.current().nextLong();
    }

    String nextActionId() {
        return node.name() + "-" + Long.toString(actionIds.incrementAndGet(), 36);
    }

    Scheduler.Task schedule(Runnable task, long inMs) {
        return scheduler.schedule(() -> pool.execute(task), inMs, TimeUnit.MILLISECONDS);
    }

    /** Lets a request try again soon, in the order of priority. */
    void enqueue(ProxiedRequest request) {
        if (queueScheduled.compareAndSet(false, true)) {
            schedule(this::drainQueue, QUEUE_PERIOD_MS);
        }
        queue.add(request);
    }

    private void drainQueue() {
        queueScheduled.set(false);
        queue.drain().forEach(ProxiedRequest::onDequeued);
    }

    void logOutOfOrder(StreamEvent event, ProxiedRequest request, String engineId) {
        LOG.atWarning().log(
                "event out of order: action=%s attempt=%s engine=%s event=%s after=%s",
                request.actionId(),
                request.admitted().attemptId(),
                engineId,
                event.id(),
                request.position().lastId());
    }

    @Override
    public void onActionEnded(TerminalEvent event) {
        active.end();
        ledger.onEnded(event);
        experiments.onEnded(event, clock.nowMs());
        String end = event.state() + (event.cause() == null ? "" : " " + event.cause());
        endCounts.computeIfAbsent(end, key -> new LongAdder()).increment();
        if (event.state() != Action.State.COMPLETED && event.cause() != CancelCause.CLIENT_GONE) {
            LOG.atFine()
                    .with(LogField.REQUEST, event.actionId())
                    .with(LogField.OUTCOME, end)
                    .with(LogField.ATTEMPTS, event.attempts())
                    .with(LogField.LAST_ATTEMPT, event.lastOutcome())
                    .with(LogField.COMMITTED, event.responseCommitted())
                    .with(LogField.ELAPSED_MS, event.elapsedMs())
                    .with(LogField.REMAINING_MS, event.leftMs())
                    .log("request did not complete");
        }
    }

    // ---- requests as they come

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        ClientResponse client = new ClientResponse(request, response, callback);
        if (server.isFromClient(request)) {
            handleClient(request, client);
        } else if (request.getHttpURI().getPath().equals(READINESS_PATH)) {
            response.setStatus(isReady() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
            response.write(true, BufferUtil.EMPTY_BUFFER, callback);
        } else {
            client.respond(Outcome.NO_SUCH, 0, isLeaving());
        }
        return true;
    }

    private void handleClient(Request request, ClientResponse client) {
        long receivedMs = clock.nowMs();
        FleetConfig current = config;
        if (current == null || !confirmed) {
            client.respond(Outcome.NOT_READY, NOT_READY_MS, isLeaving());
            return;
        }
        String host = request.getHeaders().get(HttpHeader.HOST);
        FleetConfig.Route route = current.find(host, request.getHttpURI().getPath());
        if (route == null) {
            client.respond(Outcome.NO_MAPPING, 0, isLeaving());
            return;
        }
        String attemptId = request.getHeaders().get(Headers.ATTEMPT_ID);
        if (attemptId == null || attemptId.isEmpty()) {
            client.respond(Outcome.MALFORMED, 0, isLeaving());
            return;
        }
        long timeLimitMs;
        try {
            timeLimitMs =
                    RequestTimeLimits.timeLimitMs(route, request.getHeaders().get(Headers.DEADLINE_MS));
        } catch (NumberFormatException notANumber) {
            client.respond(Outcome.MALFORMED, 0, isLeaving());
            return;
        }
        Departure leaving = departure;
        if (leaving != null && leaving.mayBeOutlivedBy(receivedMs, timeLimitMs)) {
            client.respond(Outcome.LEAVING, 0, true);
            return;
        }
        Arrival arrival = new Arrival(request, client, route, attemptId, receivedMs, timeLimitMs);
        readBody(arrival, current.limits().bodyBytes());
    }

    private void readBody(Arrival arrival, int bytesMax) {
        ClientResponse client = arrival.client();
        BodyDeadline deadline = new BodyDeadline(() -> client.respond(Outcome.NO_TIME, 0, true));
        new BoundedBody(
                        arrival.request(),
                        bytesMax,
                        body -> {
                            if (deadline.meet()) {
                                admit(arrival, body);
                            }
                        },
                        failure -> {
                            if (deadline.meet()) {
                                client.breakOff(failure);
                            }
                        })
                .run();
        if (!deadline.isMet()) {
            deadline.set(schedule(deadline::pass, Math.max(1, arrival.timeLimitMs())));
        }
    }

    /** The body has come in time; null if it is too large. */
    private void admit(Arrival arrival, byte[] body) {
        if (body == null) {
            arrival.client().respond(Outcome.TOO_LARGE, 0, isLeaving());
            return;
        }
        long nowMs = clock.nowMs();
        String service = RouteSplit.service(arrival.route(), arrival.attemptId());
        String promptPrefix = arrival.request().getHeaders().get(Headers.PROMPT_PREFIX);
        Optional<Assignment> assignment = experiments.assign(arrival.route(), promptPrefix, nowMs);
        if (!active.begin()) {
            arrival.client().respond(Outcome.LEAVING, 0, true);
            return;
        }
        loadBalancer.onRequestReceived(service, nowMs);
        AdmittedRequest admitted = new AdmittedRequest(arrival, body, service, rules, assignment);
        ProxiedRequest proxied = new ProxiedRequest(this, admitted, arrival.client());
        experiments.begin(proxied.actionId(), admitted, arrival.client(), clock);
        proxied.begin();
    }
}
