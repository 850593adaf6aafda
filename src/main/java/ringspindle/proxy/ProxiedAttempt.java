package ringspindle.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.retry.Attempt;
import ringspindle.retry.AttemptOutcome;

/**
 * One attempt of a request at one engine: connects, sends, reads the response and forwards a stream event by event.
 * {@link ProxiedRequest} decides about further attempts.
 *
 * <p>All fields are guarded by the lock of the request. What is read from the engine is written to the client before
 * more is read, so a slow client slows the engine down; at most one write to the client is pending.
 */
final class ProxiedAttempt implements EngineConnectionPool.AcquireListener, Response.Listener, NonBlockingTask {
    /** Delay before a complete response is forwarded although the request is not fully written. */
    private static final int EARLY_RESPONSE_DELAY_MS = 20;

    /** The phase of an attempt, which only moves forward. */
    private enum Phase {
        CONNECTING,
        AWAITING_HEAD,
        RECEIVING,
        ENDED
    }

    private final ProxiedRequest request;
    private final ProxyHandler proxy;
    private final Attempt scope;
    private final LoadBalancer.SelectionRequest selection;
    private final LoadBalancer.SelectedEngine engine;
    private final boolean resumes;

    private Phase phase = Phase.CONNECTING;
    private final AttemptConnection connection;
    private Request engineRequest;
    private Response responseHead;
    private ResponseKind responseKind;
    private Content.Source content;
    /** The part of the body received so far, which is forwarded once complete; null for a stream. */
    private BufferedBody buffered;
    /** The event stream, null for any other response. */
    private EngineStream stream;

    private final PendingWrite clientWrite = new PendingWrite();

    private final AttemptTiming timing;

    ProxiedAttempt(
            ProxiedRequest request,
            ProxyHandler proxy,
            Attempt scope,
            LoadBalancer.SelectionRequest selection,
            LoadBalancer.SelectedEngine engine,
            boolean resumes) {
        this.request = request;
        this.proxy = proxy;
        this.scope = scope;
        this.selection = selection;
        this.engine = engine;
        this.resumes = resumes;
        timing = new AttemptTiming(proxy.nowMs());
        connection = new AttemptConnection(proxy.connections());
    }

    /** Acquires a connection to the engine, over which the request is then sent. */
    void start(boolean repeatable) {
        proxy.connections().acquire(engine.id(), engine.address(), engine.connectionLimit(), repeatable, this);
    }

    @Override
    public void onAcquireFailed(EngineConnectionPool.Failure failure) {
        synchronized (request) {
            if (phase != Phase.ENDED) {
                boolean limitReached = failure == EngineConnectionPool.Failure.LIMIT_REACHED;
                request.onAttemptFailed(this, limitReached ? AttemptOutcome.NOT_RUN : AttemptOutcome.NOT_SENT);
            }
        }
    }

    /** Sends the request over the acquired connection. */
    @Override
    public void onAcquired(PooledConnection acquired) {
        synchronized (request) {
            long nowMs = proxy.nowMs();
            // The last check before anything is sent.
            if (phase == Phase.ENDED || !request.isLive(nowMs)) {
                proxy.connections().releaseUnused(acquired);
                if (phase != Phase.ENDED) {
                    request.onAttemptFailed(this, AttemptOutcome.NOT_SENT);
                }
                return;
            }
            engineRequest = request.createEngineRequest(engine, resumes, nowMs);
            connection.attach(acquired, engineRequest);
            scope.markSent();
            request.onSent(resumes);
            timing.onSent(nowMs);
            proxy.loadBalancer().onRequestSent(engine.id(), nowMs);
            phase = Phase.AWAITING_HEAD;
        }
        acquired.connection().send(engineRequest, this);
    }

    // ---- response of the engine

    @Override
    public void onHeaders(Response response) {
        synchronized (request) {
            if (phase == Phase.ENDED) {
                return;
            }
            long nowMs = proxy.nowMs();
            responseHead = response;
            timing.onActivity(nowMs);
            phase = Phase.RECEIVING;
            if (ResponseKind.isUnattributable(response, request.admitted().attemptId())) {
                responseKind = ResponseKind.BROKEN;
                request.onAttemptFailed(this, AttemptOutcome.BROKEN);
                return;
            }
            proxy.loadBalancer().onResponseBytes(engine.id(), nowMs);
            responseKind = ResponseKind.of(response, engine.id());
            if (isStream()) {
                startStream(response);
            } else {
                buffered = new BufferedBody();
            }
        }
    }

    private void startStream(Response response) {
        stream = new EngineStream(request.position(), request.admitted().isBufferedUntilComplete());
        if (!stream.onHeaders(response.getHeaders().get(Headers.WEIGHT_VERSIONS), resumes)) {
            request.onAttemptFailed(this, AttemptOutcome.BROKEN);
        }
    }

    @Override
    public void onContentSource(Response response, Content.Source source) {
        content = source;
        run();
    }

    /** Reads the available content; after a part that was forwarded, reading continues once that is written. */
    @Override
    public void run() {
        while (true) {
            Content.Chunk chunk = content.read();
            if (chunk == null) {
                content.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                return;
            }
            boolean last = chunk.isLast();
            boolean readNext = !chunk.hasRemaining() || receive(chunk.getByteBuffer(), last);
            chunk.release();
            if (last || !readNext) {
                return;
            }
        }
    }

    /** Handles a part of the body; returns true if the next one may be read at once. */
    private boolean receive(ByteBuffer part, boolean last) {
        byte[] events;
        synchronized (request) {
            if (phase == Phase.ENDED) {
                return false;
            }
            long nowMs = proxy.nowMs();
            proxy.onOutput(timing.onBodyBytes(nowMs), responseKind, request.admitted());
            proxy.loadBalancer().onResponseBytes(engine.id(), nowMs);
            if (buffered != null) {
                return failUnless(buffered.append(part));
            }
            events = eventsInSequence(part);
            if (events.length == 0) {
                return phase != Phase.ENDED;
            }
            if (stream.isBuffered()) {
                return failUnless(stream.buffer(events));
            }
            if (!request.commit(responseHead, nowMs)) {
                return false;
            }
            clientWrite.begin();
        }
        request.client()
                .write(
                        events,
                        Callback.from(
                                InvocationType.NON_BLOCKING, () -> onWritten(last), failure -> request.onClientGone()));
        return false;
    }

    /** Fails the attempt if a part could not be buffered; returns true if the next one may be read at once. */
    private boolean failUnless(boolean isBuffered) {
        if (!isBuffered) {
            request.onAttemptFailed(this, AttemptOutcome.BROKEN);
        }
        return isBuffered;
    }

    /** Returns the events that may be forwarded; fails the attempt if there are none and none can follow. */
    private byte[] eventsInSequence(ByteBuffer part) {
        EventRelay.RelayedEvents relayed = stream.feed(part);
        relayed.outOfOrder().ifPresent(event -> proxy.logOutOfOrder(event, request, engine.id()));
        if (relayed.isBroken() && relayed.events().length == 0) {
            request.onAttemptFailed(this, AttemptOutcome.BROKEN);
        }
        return relayed.events();
    }

    private void onWritten(boolean last) {
        Result result;
        synchronized (request) {
            boolean pastTimeout = clientWrite.end();
            if (stream.isBroken()) {
                // Nothing more of this stream may be forwarded.
                if (phase != Phase.ENDED) {
                    request.onAttemptFailed(this, AttemptOutcome.BROKEN);
                }
                return;
            }
            if (pastTimeout) {
                timing.onActivity(proxy.nowMs());
                if (phase != Phase.ENDED) {
                    request.armTimer();
                }
            }
            result = clientWrite.takeDeferred();
        }
        if (result != null) {
            onComplete(result);
        } else if (!last) {
            // Not read here: Jetty runs the demanded read after its current work on the exchange.
            content.demand(this);
        }
    }

    /** Called for a complete response, which may precede the end of the request; Jetty completes after both. */
    @Override
    public void onSuccess(Response response) {
        if (!connection.isRequestWritten()) {
            proxy.schedule(this::completeEarly, EARLY_RESPONSE_DELAY_MS);
        }
    }

    private void completeEarly() {
        Runnable writeResponse;
        synchronized (request) {
            if (phase == Phase.ENDED) {
                return;
            }
            if (clientWrite.isPending()) {
                proxy.schedule(this::completeEarly, EARLY_RESPONSE_DELAY_MS);
                return;
            }
            writeResponse = complete(proxy.nowMs());
        }
        if (writeResponse != null) {
            writeResponse.run();
        }
    }

    @Override
    public void onComplete(Result result) {
        Runnable writeResponse = null;
        synchronized (request) {
            if (phase == Phase.ENDED) {
                return;
            }
            if (clientWrite.isPending()) {
                clientWrite.defer(result);
                return;
            }
            long nowMs = proxy.nowMs();
            if (result.isFailed()) {
                if (responseHead == null) {
                    connection.recordIfStale(timing, nowMs);
                }
                request.onAttemptFailed(this, AttemptOutcome.BROKEN);
            } else {
                writeResponse = complete(nowMs);
            }
        }
        if (writeResponse != null) {
            writeResponse.run();
        }
    }

    /** Handles a complete response; returns the task that writes it to the client, null if nothing is to be written. */
    private Runnable complete(long nowMs) {
        switch (responseKind) {
            case SUCCESS:
                return buffered != null ? completeBuffered(nowMs) : completeStream(nowMs);
            case FAILURE:
                connection.release(responseHead.getHeaders());
                return request.onEngineFailure(this, nowMs);
            case NOT_RUN:
            case MISDIRECTED:
                connection.release(responseHead.getHeaders());
                request.onAttemptFailed(this, responseKind.attemptOutcome().orElseThrow());
                return null;
            default:
                request.onAttemptFailed(this, AttemptOutcome.BROKEN);
                return null;
        }
    }

    private Runnable completeBuffered(long nowMs) {
        connection.release(responseHead.getHeaders());
        return request.onResponseCompleted(this, nowMs) ? bufferedResponse() : null;
    }

    private Runnable completeStream(long nowMs) {
        if (!stream.isComplete(request.isCommitted())) {
            request.onAttemptFailed(this, AttemptOutcome.BROKEN);
            return null;
        }
        connection.release(responseHead.getHeaders());
        boolean accepted = request.onResponseCompleted(this, nowMs);
        return accepted ? stream.bufferedEvents().map(this::bufferedStream).orElse(request.client()::endStream) : null;
    }

    /** Releases all resources; what the engine sends afterwards has no effect. */
    void end(AttemptOutcome outcome, long nowMs) {
        phase = Phase.ENDED;
        proxy.loadBalancer().onAttemptEnded(engine.id(), selection, outcome, timing.firstByteMs(), nowMs);
        // Closed before the exchange is aborted, so that no more of the request can be sent.
        connection.discard();
        if (engineRequest != null && outcome != AttemptOutcome.ANSWERED) {
            engineRequest.abort(new IOException("attempt ended: " + outcome));
        }
    }

    /** Returns true if the attempt has a timeout of its own that is running now. */
    boolean hasOwnTimeout() {
        return scope.hasOwnTimeout() && !clientWrite.isPastTimeout();
    }

    /** Returns when it times out: a stream after a period without data, any other response after its total time. */
    long timeoutAtMs() {
        return responseKind != null && isStream()
                ? timing.lastActivityMs() + request.limits().silenceTimeoutMs()
                : scope.deadlineMs();
    }

    /** Fails the attempt with a timeout, or defers that if a write to the client is pending. */
    void onTimeout() {
        if (clientWrite.isPending()) {
            clientWrite.deferTimeout();
        } else {
            request.onAttemptFailed(this, AttemptOutcome.ATTEMPT_TIMEOUT);
        }
    }

    private boolean isStream() {
        return responseKind == ResponseKind.SUCCESS && request.admitted().isStreaming();
    }

    Attempt scope() {
        return scope;
    }

    String instanceId() {
        return engine.id();
    }

    boolean wasSent() {
        return timing.wasSent();
    }

    /** Returns true if events were received but not forwarded yet. */
    boolean hasBufferedEvents() {
        return stream != null && stream.hasBufferedEvents();
    }

    /** Sets the headers of a buffered response; returns the task that writes its body. */
    Runnable bufferedResponse() {
        byte[] body = buffered.toByteArray();
        request.client().setHeaders(responseHead, body.length, proxy.isShuttingDown());
        return () -> request.client().writeBody(body);
    }

    /** Sets the headers of a buffered stream; returns the task that writes its events. */
    private Runnable bufferedStream(byte[] events) {
        request.client().setStreamHeaders(responseHead, proxy.isShuttingDown());
        return () -> request.client().writeBody(events);
    }
}
