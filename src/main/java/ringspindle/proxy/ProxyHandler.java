package ringspindle.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.client.HttpClient;
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
import ringspindle.tenancy.KeyLease;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.LifeCycles;

/** The client-facing side of a data node: accepts requests, matches them to routes and reports readiness. */
public final class ProxyHandler extends Handler.Abstract implements Action.Listener, Proxy {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Maximum size of a client's request line with its headers. */
    static final int MAX_REQUEST_HEADER_BYTES = 32768;

    private static final String READINESS_PATH = "/ringspindle/readiness";

    /** Typical restart time of a data node; the Retry-After of the last node in a region that is shutting down. */
    private static final int RESTART_ESTIMATE_MS = 800;

    private final NodeConfig node;
    private final LoadBalancer loadBalancer;
    private final HttpClient engineClient;
    private final EngineConnectionPool connections;
    private final EngineRequestFactory engineRequests;
    private final EngineHealthProber prober;
    private final ProxyServer server;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final QueuedThreadPool threadPool;
    private final WaitQueueTimer waitQueue = new WaitQueueTimer(this::schedule);
    private final AtomicLong actionIds = new AtomicLong();
    private final ActiveRequests active = new ActiveRequests();
    private final Map<String, LongAdder> endCounts = new ConcurrentHashMap<>();
    private final RequestLedger ledger = new RequestLedger();
    private final ExperimentOutcomes experiments = new ExperimentOutcomes();
    private volatile ServingRules rules;
    private volatile FleetConfig config;
    private volatile boolean confirmed;
    private final CallerIdentification callers;
    private final RequestAdmission admission;
    private volatile StateFreshness stateFreshness = () -> "";
    private final NodeServices services = new NodeServices();
    private volatile ShutdownWindow shutdown;
    private volatile boolean accepting = true;
    private volatile boolean lastInRegion;

    /**
     * Creates a proxy that does not listen yet.
     *
     * @throws Exception if the client to engines cannot start
     */
    public ProxyHandler(
            NodeConfig node,
            LoadBalancer loadBalancer,
            QueuedThreadPool threadPool,
            Scheduler scheduler,
            MonotonicClock clock)
            throws Exception {
        // handling never blocks, so requests are handled on the selector thread without dispatching to another one
        super(InvocationType.NON_BLOCKING);
        this.node = node;
        this.loadBalancer = loadBalancer;
        this.threadPool = threadPool;
        this.scheduler = scheduler;
        this.clock = clock;
        engineClient = EngineHttpClient.start(threadPool, scheduler);
        connections = new EngineConnectionPool(engineClient, clock);
        engineRequests = new EngineRequestFactory(engineClient);
        callers = new CallerIdentification(new KeyLease(node.revokeMs()));
        admission = new RequestAdmission(
                this, active, experiments, () -> stateFreshness.describe(), new JobAdmission(this, active), callers);
        prober = new EngineHealthProber(engineClient, loadBalancer, clock);
        server = ProxyServer.create(
                node.frontend().orElseThrow(), node.readiness().orElse(null), this, threadPool, scheduler);
    }

    /**
     * Starts listening; may be called once.
     *
     * @throws Exception if a port cannot be opened
     */
    public void open() throws Exception {
        server.start();
    }

    /** Sets the description of the state's freshness for log lines; call before {@link #open}. */
    public void setStateFreshness(StateFreshness freshness) {
        stateFreshness = freshness;
    }

    /** The fleet services that requests use; set them before {@link #open}. */
    public NodeServices services() {
        return services;
    }

    /** Serves metrics at the given address; call before {@link #open}. */
    public void serveMetrics(NodeId address, Metrics metrics) {
        server.serveMetrics(address, metrics);
    }

    // ---- called by the component that holds the replicated state

    @Override
    public void updateConfiguration(FleetConfig newer) {
        FleetConfig current = config;
        if (current == null || newer.revision() > current.revision()) {
            config = newer;
            server.setLimits(newer.limits());
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
    public LedgerReport ledgerReport(long incarnation, long sequence) {
        ServingRules current = rules;
        return ledger.report(
                incarnation,
                sequence,
                current == null ? 0 : current.revision(),
                current == null ? 0 : current.digest());
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
    public void confirmUpToDate(long heartbeatSentMs) {
        callers.confirmUpToDate(heartbeatSentMs);
    }

    @Override
    public boolean isReady() {
        return configurationInForce() != null && !isShuttingDown();
    }

    @Override
    public boolean acceptsRequests() {
        return accepting && configurationInForce() != null;
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

    // ---- shutdown

    /**
     * Begins the graceful shutdown: each response from now on closes its client connection.
     *
     * @param endMs when {@link #close} will be called, on the monotonic clock; requests that could take longer are soon rejected
     */
    public void beginShutdown(long endMs) {
        shutdown = new ShutdownWindow(clock.nowMs(), endMs);
    }

    /**
     * Sets whether this node, which is shutting down, is the last of its region to accept requests. The last one also accepts
     * requests that may outlive it, and buffers such streams until complete: a response that has begun must not be truncated.
     */
    public void setLastInRegion(boolean last) {
        lastInRegion = last;
    }

    /** Stops accepting connections; called once clients had time to learn of the shutdown. */
    public void stopAccepting() {
        accepting = false;
        server.stopAccepting();
    }

    /** Returns the number of requests in progress. */
    public long activeRequests() {
        return active.count();
    }

    /**
     * Stops admitting requests if none is in progress; returns true if so. Later requests on open connections are rejected as
     * not executed.
     */
    public boolean closeIfIdle() {
        return active.closeIfIdle();
    }

    /** Returns the revision of the current configuration, 0 while there is none. */
    public long configurationRevision() {
        FleetConfig current = config;
        return current == null ? 0 : current.revision();
    }

    /** Returns the number of requests that wait for capacity. */
    public int queuedRequests() {
        return waitQueue.size();
    }

    /**
     * Stops admitting requests and ends those in progress: with a rejection if nothing was executed, else with a failure; a
     * stream that has begun is aborted. Returns how many there were.
     */
    public long cancelActiveRequests() {
        return active.closeAndCancelAll();
    }

    /** Closes connections and listeners; not needed when the process exits. */
    public void close() {
        server.close();
        LifeCycles.stopQuietly(engineClient);
    }

    // ---- used by requests

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

    MonotonicClock clock() {
        return clock;
    }

    /** The configuration in force, null until a control node has confirmed one. */
    FleetConfig configurationInForce() {
        return confirmed ? config : null;
    }

    /** The serving rules in force, null while there are none. */
    ServingRules rules() {
        return rules;
    }

    boolean isShuttingDown() {
        return shutdown != null;
    }

    /** Returns true if this node is shutting down and may terminate before the request ends. */
    boolean mayBeOutlivedBy(long receivedMs, long timeLimitMs) {
        ShutdownWindow window = shutdown;
        return window != null && window.mayBeOutlivedBy(receivedMs, timeLimitMs);
    }

    /** Returns true if this node is shutting down and is the last of its region to accept requests. */
    boolean isLastInRegion() {
        return lastInRegion;
    }

    /** Returns the Retry-After of requests rejected during shutdown. */
    int shutdownRetryAfterMs() {
        return lastInRegion ? RESTART_ESTIMATE_MS : 0;
    }

    long nextRandom() {
        return ThreadLocalRandom.current().nextLong();
    }

    String nextActionId() {
        return node.name() + "-" + Long.toString(actionIds.incrementAndGet(), 36);
    }

    Scheduler.Task schedule(Runnable task, long delayMs) {
        return scheduler.schedule(() -> threadPool.execute(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Queues a request for another try at an engine, in order of priority. */
    void enqueue(ProxiedRequest request) {
        waitQueue.add(request);
    }

    /** Handles engine output; the first output of a success shows that the engine has started the request. */
    void onOutput(boolean first, ResponseKind kind, AdmittedRequest admitted) {
        if (first && kind == ResponseKind.SUCCESS) {
            admitted.tenant().ifPresent(tenant -> services.usage().onRequestStarted(tenant.name()));
        }
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
        active.end(event.actionId());
        ledger.onEnded(event);
        experiments.onEnded(event, clock.nowMs());
        String terminal = event.state() + (event.cause() == null ? "" : " " + event.cause());
        endCounts.computeIfAbsent(terminal, key -> new LongAdder()).increment();
        if (event.state() != Action.State.COMPLETED && event.cause() != CancelCause.CLIENT_GONE) {
            LOG.atFine()
                    .with(LogField.REQUEST, event.actionId())
                    .with(LogField.OUTCOME, terminal)
                    .with(LogField.ATTEMPTS, event.attemptCount())
                    .with(LogField.LAST_ATTEMPT, event.lastOutcome())
                    .with(LogField.COMMITTED, event.responseCommitted())
                    .with(LogField.ELAPSED_MS, event.elapsedMs())
                    .with(LogField.REMAINING_MS, event.remainingMs())
                    .log("request did not complete");
        }
    }

    // ---- incoming requests

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof ClientEndPoint endPoint) {
            endPoint.onHead();
            Request.addCompletionListener(request, failure -> endPoint.onRequestEnded());
        }
        ClientResponse client = new ClientResponse(request, response, callback);
        if (server.isClientRequest(request)) {
            admission.handle(request, client);
        } else if (request.getHttpURI().getPath().equals(READINESS_PATH)) {
            response.setStatus(isReady() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
            response.write(true, BufferUtil.EMPTY_BUFFER, callback);
        } else {
            client.respond(Outcome.NO_SUCH, 0, isShuttingDown());
        }
        return true;
    }
}
