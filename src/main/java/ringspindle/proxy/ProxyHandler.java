package ringspindle.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.NodeId;
import ringspindle.retry.Action;
import ringspindle.retry.CancelCause;
import ringspindle.retry.TerminalEvent;
import ringspindle.routing.RequestLedger;
import ringspindle.routing.ServingRules;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.LifeCycles;

/** The consumers' side of a data node: mappings, flows, readiness. */
public final class ProxyHandler extends Handler.Abstract implements Action.Listener, Proxy {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** The longest request line with header fields that a client may send. */
    static final int REQUEST_HEADERS_MAX = 32768;

    private static final int INBOX_MS = 20;
    /** Ours: about how long a node that has just started takes until it holds what is in force. */
    private static final int NOT_READY_MS = 1000;

    private final NodeConfig node;
    private final LoadBalancer picker;
    private final EngineConnectionPool wires;
    private final MonotonicClock clock;
    private final org.eclipse.jetty.util.thread.Scheduler beats;
    private final QueuedThreadPool pool;
    private final WaitQueue inbox = new WaitQueue();
    private final AtomicBoolean inboxBeat = new AtomicBoolean();
    private final AtomicLong ids = new AtomicLong();
    private final LongAdder active = new LongAdder();
    private final Map<String, LongAdder> ends = new ConcurrentHashMap<>();
    private final RequestLedger ledger = new RequestLedger();
    private volatile ServingRules rules;
    private volatile FleetConfig config;
    private volatile boolean confirmed;
    private volatile boolean leaving;
    private Server server;
    private ServerConnector consumers;

    /** {@code new ProxyHandler(node, picker, pool, beats, clock).open()} serves. */
    public ProxyHandler(
            NodeConfig node,
            LoadBalancer picker,
            QueuedThreadPool pool,
            org.eclipse.jetty.util.thread.Scheduler beats,
            MonotonicClock clock)
            throws Exception {
        this.node = node;
        this.picker = picker;
        this.pool = pool;
        this.beats = beats;
        this.clock = clock;
        wires = new EngineConnectionPool(pool, beats, clock);
    }

    /** Listens; {@code front.open()} once. */
    public void open() throws Exception {
        server = new Server(pool, beats, new ArrayByteBufferPool(0, 4096, 65536, 256, 2 << 20, 4 << 20));
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(REQUEST_HEADERS_MAX);
        http.setUriCompliance(UriCompliance.UNSAFE);
        http.setUseInputDirectByteBuffers(false);
        http.setUseOutputDirectByteBuffers(false);
        http.setOutputBufferSize(16384);
        consumers = new ClientEndPoint.Connector(server, pool, beats, new HttpConnectionFactory(http));
        NodeId at = node.frontend().orElseThrow();
        consumers.setHost(at.ip());
        consumers.setPort(at.port());
        consumers.setIdleTimeout(15000);
        consumers.setAcceptQueueSize(512);
        server.addConnector(consumers);
        if (node.readiness().isPresent()) {
            ServerConnector c = new ServerConnector(server, pool, beats, null, 0, 1, new HttpConnectionFactory(http));
            c.setHost(node.readiness().get().ip());
            c.setPort(node.readiness().get().port());
            server.addConnector(c);
        }
        server.setStopTimeout(0);
        server.setHandler(this);
        server.start();
    }

    /** The newest configuration in force here; older ones are ignored. */
    @Override
    public void config(FleetConfig c) {
        FleetConfig old = config;
        if (old == null || c.revision() > old.revision()) {
            config = c;
            consumers.setIdleTimeout(c.limits().idleMs());
            // open connections may rest for as long as the new limit says; what they were promised is not cut short
            for (EndPoint open : consumers.getConnectedEndPoints()) {
                open.setIdleTimeout(Math.max(open.getIdleTimeout(), c.limits().idleMs()));
            }
        }
    }

    @Override
    public void rules(ServingRules r) {
        ServingRules old = rules;
        if (old == null || r.revision() > old.revision()) {
            rules = r;
        }
    }

    @Override
    public LedgerReport ledger(long life, long seq) {
        ServingRules r = rules;
        return ledger.report(life, seq, r == null ? 0 : r.revision(), r == null ? 0 : r.digest());
    }

    /** A control node has told all that is in force; {@code front.confirm()}. */
    @Override
    public void confirm() {
        confirmed = true;
    }

    /** True while new consumers are welcome; {@code front.ready()}. */
    @Override
    public boolean ready() {
        return confirmed && config != null && !leaving;
    }

    /** Turns new consumers away in order; {@code front.leave()}. */
    public void leave() {
        leaving = true;
    }

    /** Stops accepting wires, once consumers had time to hear of it. */
    public void stopAccepting() {
        consumers.shutdown();
    }

    /** Requests under way; {@code while (front.active() > 0) ...}. */
    public long active() {
        return active.sum();
    }

    /** Ends all. */
    public void close() {
        LifeCycles.stopQuietly(server);
        wires.close();
    }

    /** Closes idle wires; {@code front.tidy()} now and then. */
    @Override
    public void tidy() {
        wires.tidy(picker.knownEngineIds());
    }

    /** Asks suspect engines for their status; {@code front.probe()} on every beat. */
    @Override
    public void probe() {
        for (LoadBalancer.HealthProbe p : picker.dueHealthProbes(clock.nowMs())) {
            wires.client()
                    .newRequest(p.address().ip(), p.address().port())
                    .path(p.healthPath())
                    .timeout(900, TimeUnit.MILLISECONDS)
                    .headers(h -> h.put(HttpHeader.CONNECTION, "close"))
                    .send(r -> {
                        boolean well = r.isSucceeded()
                                && r.getResponse().getStatus() == 200
                                && p.id().equals(r.getResponse().getHeaders().get("Instance-Id"));
                        int coldMs = 0;
                        if (r.isSucceeded() && r.getResponse().getHeaders().get("Warmup-Ms") != null) {
                            coldMs = (int) Double.parseDouble(
                                    r.getResponse().getHeaders().get("Warmup-Ms"));
                        }
                        picker.onHealthProbeResult(p.id(), well, coldMs, clock.nowMs());
                    });
        }
    }

    // ---- for flows

    LoadBalancer picker() {
        return picker;
    }

    /** The serving rules in force, null while there are none. */
    ServingRules rules() {
        return rules;
    }

    RequestLedger ledger() {
        return ledger;
    }

    EngineConnectionPool wires() {
        return wires;
    }

    long nowMs() {
        return clock.nowMs();
    }

    boolean leaving() {
        return leaving;
    }

    long luck() {
        return ThreadLocalRandom.current().nextLong();
    }

    String nextId() {
        return node.name() + "-" + Long.toString(ids.incrementAndGet(), 36);
    }

    org.eclipse.jetty.util.thread.Scheduler.Task schedule(Runnable r, long inMs) {
        return beats.schedule(() -> pool.execute(r), inMs, TimeUnit.MILLISECONDS);
    }

    WaitQueue inbox() {
        if (inboxBeat.compareAndSet(false, true)) {
            schedule(this::emptyInbox, INBOX_MS);
        }
        return inbox;
    }

    private void emptyInbox() {
        inboxBeat.set(false);
        inbox.drain().forEach(ProxiedRequest::again);
    }

    @Override
    public void onActionEnded(TerminalEvent t) {
        active.decrement();
        ledger.onEnded(t);
        String how = t.state() + (t.cause() == null ? "" : " " + t.cause());
        ends.computeIfAbsent(how, k -> new LongAdder()).increment();
        if (t.state() != Action.State.COMPLETED && t.cause() != CancelCause.CLIENT_GONE) {
            LOG.atFine().log(
                    "action %s %s attempts=%s last=%s committed=%s elapsedMs=%s leftMs=%s",
                    t.actionId(), how, t.attempts(), t.lastOutcome(), t.responseCommitted(), t.elapsedMs(), t.leftMs());
        }
    }

    /** How many actions ended how; {@code front.ends().get("COMPLETED")}. */
    @Override
    public Map<String, Long> ends() {
        Map<String, Long> out = new TreeMap<>();
        ends.forEach((k, v) -> out.put(k, v.sum()));
        return out;
    }

    /** Answers with an outcome of the table. */
    void say(Response response, Callback callback, Outcome o, long comeBackMs) {
        response.setStatus(o.status());
        byte[] out = ("{\"error\":\"" + o.name() + "\"}").getBytes(UTF_8);
        HttpFields.Mutable h = response.getHeaders();
        if (o.notRun()) {
            h.put("Retry-After", Double.toString(Math.max(10, comeBackMs) / 1000.0));
        }
        h.put(HttpHeader.CONTENT_TYPE, "application/json");
        h.put(HttpHeader.CONTENT_LENGTH, out.length);
        if (leaving) {
            h.put(HttpHeader.CONNECTION, "close");
        }
        response.write(true, ByteBuffer.wrap(out), callback);
    }

    // ---- requests

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = request.getHttpURI().getPath();
        if (((ServerConnector) request.getConnectionMetaData().getConnector()) != consumers) {
            if (path.equals("/ringspindle/readiness")) {
                response.setStatus(ready() ? 200 : 503);
                response.write(true, BufferUtil.EMPTY_BUFFER, callback);
            } else {
                say(response, callback, Outcome.NO_SUCH, 0);
            }
            return true;
        }
        long sinceMs = clock.nowMs();
        FleetConfig c = config;
        if (c == null || !confirmed) {
            say(response, callback, Outcome.NOT_READY, NOT_READY_MS);
            return true;
        }
        FleetConfig.Route m = c.find(request.getHeaders().get(HttpHeader.HOST), path);
        if (m == null) {
            say(response, callback, Outcome.NO_MAPPING, 0);
            return true;
        }
        String id = request.getHeaders().get("Attempt-Id");
        if (id == null || id.isEmpty()) {
            say(response, callback, Outcome.MALFORMED, 0);
            return true;
        }
        long deadlineMs = m.deadlineMs();
        String given = request.getHeaders().get("Deadline-Ms");
        if (given != null) {
            try {
                deadlineMs = Math.min(deadlineMs, (long) Double.parseDouble(given.trim()));
            } catch (NumberFormatException x) {
                say(response, callback, Outcome.MALFORMED, 0);
                return true;
            }
        }
        long heldMs = deadlineMs;
        new BoundedBody(
                        request,
                        c.limits().bodyBytes(),
                        body -> {
                            if (body == null) {
                                say(response, callback, Outcome.TOO_LARGE, 0);
                                return;
                            }
                            long nowMs = clock.nowMs();
                            String service = target(m, id);
                            picker.onRequestReceived(service, nowMs);
                            active.increment();
                            new ProxiedRequest(this, request, response, callback, m, service, id, body, sinceMs, heldMs)
                                    .begin();
                        },
                        x -> callback.failed(x))
                .run();
        return true;
    }

    /** Splits by weight; one try always goes the same way. */
    private static String target(FleetConfig.Route m, String id) {
        if (m.targets().size() == 1) {
            return m.targets().get(0).service();
        }
        double sum = 0;
        for (FleetConfig.Target t : m.targets()) {
            sum += t.weight();
        }
        double at = (com.google.common.hash.Hashing.murmur3_32_fixed()
                                .hashUnencodedChars(id)
                                .asInt()
                        >>> 1)
                / (double) (1L << 31)
                * sum;
        for (FleetConfig.Target t : m.targets()) {
            at -= t.weight();
            if (at < 0) {
                return t.service();
            }
        }
        return m.targets().get(m.targets().size() - 1).service();
    }
}
