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
 * One attempt of a request at one engine: connects, sends, reads the answer and passes a stream on event by event. It
 * decides nothing about further attempts; that is its {@link ProxiedRequest}'s part.
 *
 * <p>All fields are guarded by the lock of the request. What is read from the engine is written to the client before more
 * is read, so a slow client holds the engine back; at most one write to the client is pending.
 */
final class ProxiedAttempt implements EngineConnectionPool.AcquireListener, Response.Listener, NonBlockingTask {
    /** An answer that is whole goes to the client after so long, in ms, though the request is not written whole. */
    private static final int EARLY_ANSWER_MS = 20;

    /** Where an attempt stands; it only moves forward. */
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
    private Response head;
    private ResponseKind kind;
    private Content.Source content;
    /** The answer's body as far as it has come, where it is held until it is complete; null for a stream. */
    private BufferedBody buffered;
    /** The answer as a stream, null for any other. */
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

    /** Takes a connection to the engine and goes on from there. */
    void start(boolean repeatable) {
        proxy.connections().acquire(engine.id(), engine.address(), engine.connectionLimit(), repeatable, this);
    }

    @Override
    public void onAcquireFailed(EngineConnectionPool.Failure failure) {
        synchronized (request) {
            if (phase != Phase.ENDED) {
                boolean full = failure == EngineConnectionPool.Failure.LIMIT_REACHED;
                request.onAttemptFailed(this, full ? AttemptOutcome.NOT_RUN : AttemptOutcome.NOT_SENT);
            }
        }
    }

    /** Sends the request. */
    @Override
    public void onAcquired(PooledConnection acquired) {
        synchronized (request) {
            long nowMs = proxy.nowMs();
            // the last look before anything goes out
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

    // ---- what comes from the engine

    @Override
    public void onHeaders(Response response) {
        synchronized (request) {
            if (phase == Phase.ENDED) {
                return;
            }
            long nowMs = proxy.nowMs();
            head = response;
            timing.onActivity(nowMs);
            phase = Phase.RECEIVING;
            if (ResponseKind.isUnattributable(response, request.admitted().attemptId())) {
                kind = ResponseKind.BROKEN;
                request.onAttemptFailed(this, AttemptOutcome.BROKEN);
                return;
            }
            proxy.loadBalancer().onResponseBytes(engine.id(), nowMs);
            kind = ResponseKind.of(response, engine.id());
            if (isStream()) {
                beginStream(response);
            } else {
                buffered = new BufferedBody();
            }
        }
    }

    private void beginStream(Response response) {
        stream = new EngineStream(request.position(), request.admitted().isHeldWhole());
        if (!stream.begin(response.getHeaders().get(Headers.WEIGHT_VERSIONS), resumes)) {
            request.onAttemptFailed(this, AttemptOutcome.BROKEN);
        }
    }

    @Override
    public void onContentSource(Response response, Content.Source source) {
        content = source;
        run();
    }

    /** Reads what is there; after a part that was passed on it goes on once that is written. */
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
            boolean readOn = !chunk.hasRemaining() || receive(chunk.getByteBuffer(), last);
            chunk.release();
            if (last || !readOn) {
                return;
            }
        }
    }

    /** Takes a part of the body; true if the next may be read at once. */
    private boolean receive(ByteBuffer part, boolean last) {
        byte[] following;
        synchronized (request) {
            if (phase == Phase.ENDED) {
                return false;
            }
            long nowMs = proxy.nowMs();
            proxy.onOutput(timing.onBodyBytes(nowMs), kind, request.admitted());
            proxy.loadBalancer().onResponseBytes(engine.id(), nowMs);
            if (buffered != null) {
                return goesOnIf(buffered.append(part));
            }
            following = followingEvents(part);
            if (following.length == 0) {
                return phase != Phase.ENDED;
            }
            if (stream.isHeldWhole()) {
                return goesOnIf(stream.hold(following));
            }
            if (!request.commit(head, nowMs)) {
                return false;
            }
            clientWrite.begin();
        }
        request.client()
                .write(
                        following,
                        Callback.from(
                                InvocationType.NON_BLOCKING, () -> onWritten(last), failure -> request.onClientGone()));
        return false;
    }

    /** What came is kept until the answer is whole; true if the next part may be read at once. */
    private boolean goesOnIf(boolean kept) {
        if (!kept) {
            request.onAttemptFailed(this, AttemptOutcome.BROKEN);
        }
        return kept;
    }

    /** The events that may be passed on; ends the attempt where there are none and none can come any more. */
    private byte[] followingEvents(ByteBuffer part) {
        EventRelay.Passage passage = stream.feed(part);
        passage.outOfOrder().ifPresent(event -> proxy.logOutOfOrder(event, request, engine.id()));
        if (passage.isBroken() && passage.events().length == 0) {
            request.onAttemptFailed(this, AttemptOutcome.BROKEN);
        }
        return passage.events();
    }

    private void onWritten(boolean last) {
        Result result;
        synchronized (request) {
            boolean pastTimeout = clientWrite.end();
            if (stream.isBroken()) {
                // it cannot go on behind what has been written
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
            // not read from here: Jetty runs the reading after whatever else it does with the exchange at this moment
            content.demand(this);
        }
    }

    /** The answer is whole. An engine may give it before it has read the request, and Jetty completes only after both. */
    @Override
    public void onSuccess(Response response) {
        if (!connection.isRequestWritten()) {
            proxy.schedule(this::completeEarly, EARLY_ANSWER_MS);
        }
    }

    private void completeEarly() {
        Runnable answer;
        synchronized (request) {
            if (phase == Phase.ENDED) {
                return;
            }
            if (clientWrite.isPending()) {
                proxy.schedule(this::completeEarly, EARLY_ANSWER_MS);
                return;
            }
            answer = complete(proxy.nowMs());
        }
        if (answer != null) {
            answer.run();
        }
    }

    @Override
    public void onComplete(Result result) {
        Runnable answer = null;
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
                if (head == null) {
                    connection.recordIfStale(timing, nowMs);
                }
                request.onAttemptFailed(this, AttemptOutcome.BROKEN);
            } else {
                answer = complete(nowMs);
            }
        }
        if (answer != null) {
            answer.run();
        }
    }

    /** The engine's answer has come whole; returns what writes it to the client, null if nothing does. */
    private Runnable complete(long nowMs) {
        switch (kind) {
            case SUCCESS:
                return buffered != null ? completeBuffered(nowMs) : completeStream(nowMs);
            case FAILURE:
                connection.release(head.getHeaders());
                return request.onEngineFailure(this, nowMs);
            case NOT_RUN:
            case MISDIRECTED:
                connection.release(head.getHeaders());
                request.onAttemptFailed(this, kind.attemptOutcome().orElseThrow());
                return null;
            default:
                request.onAttemptFailed(this, AttemptOutcome.BROKEN);
                return null;
        }
    }

    private Runnable completeBuffered(long nowMs) {
        connection.release(head.getHeaders());
        return request.onAnswered(this, nowMs) ? bufferedAnswer() : null;
    }

    private Runnable completeStream(long nowMs) {
        if (!stream.isWhole(request.isCommitted())) {
            request.onAttemptFailed(this, AttemptOutcome.BROKEN);
            return null;
        }
        connection.release(head.getHeaders());
        boolean answers = request.onAnswered(this, nowMs);
        return answers ? stream.heldEvents().map(this::heldAnswer).orElse(request.client()::endStream) : null;
    }

    /** Frees what the attempt holds. Afterwards nothing that the engine still sends has any effect. */
    void end(AttemptOutcome outcome, long nowMs) {
        phase = Phase.ENDED;
        proxy.loadBalancer().onAttemptEnded(engine.id(), selection, outcome, timing.firstByteMs(), nowMs);
        // closed before the exchange is aborted, so that nothing of it can be sent any more
        connection.discard();
        if (engineRequest != null && outcome != AttemptOutcome.ANSWERED) {
            engineRequest.abort(new IOException("attempt over: " + outcome));
        }
    }

    /** True if the attempt may time out by itself now. */
    boolean hasOwnTimeout() {
        return scope.hasOwnTimeout() && !clientWrite.isPastTimeout();
    }

    /** When it times out by itself: a stream by silence, anything else as a whole. */
    long timeoutAtMs() {
        return kind != null && isStream()
                ? timing.lastActivityMs() + request.limits().silenceMs()
                : scope.deadlineMs();
    }

    /** Its time is over: ends it, or leaves that until the client has taken what is being written. */
    void onTimeout() {
        if (clientWrite.isPending()) {
            clientWrite.deferTimeout();
        } else {
            request.onAttemptFailed(this, AttemptOutcome.ATTEMPT_TIMEOUT);
        }
    }

    private boolean isStream() {
        return kind == ResponseKind.SUCCESS && request.admitted().isStreaming();
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

    /** True if events were received that are not passed on yet. */
    boolean holdsEvents() {
        return stream != null && stream.holdsEvents();
    }

    /** Sets the head of an answer that was held; returns what writes it. */
    Runnable bufferedAnswer() {
        byte[] body = buffered.toByteArray();
        request.client().setHead(head, body.length, proxy.isLeaving());
        return () -> request.client().writeBody(body);
    }

    /** Sets the head of a stream that was held until it was whole; returns what writes it. */
    private Runnable heldAnswer(byte[] events) {
        request.client().setStreamHead(head, proxy.isLeaving());
        return () -> request.client().writeBody(events);
    }
}
