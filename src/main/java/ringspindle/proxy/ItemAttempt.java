package ringspindle.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.retry.AttemptOutcome;

/**
 * One attempt of a batch item at one engine: connects, sends and appends the events of the response to the output of
 * the item. {@link ItemCall} decides about further attempts; its monitor guards all fields.
 */
final class ItemAttempt implements EngineConnectionPool.AcquireListener, Response.Listener {
    private final ItemClient client;
    private final ItemCall call;
    private final LoadBalancer.SelectionRequest selection;
    private final LoadBalancer.SelectedEngine engine;
    private final AttemptConnection connection;
    private final AttemptTiming timing;
    private final EventSplitter events = new EventSplitter();
    private final boolean resumes;
    private Request engineRequest;
    private Response responseHead;
    private ResponseKind responseKind;

    ItemAttempt(
            ItemClient client,
            ItemCall call,
            LoadBalancer.SelectionRequest selection,
            LoadBalancer.SelectedEngine engine) {
        this.client = client;
        this.call = call;
        this.selection = selection;
        this.engine = engine;
        connection = new AttemptConnection(client.connections());
        timing = new AttemptTiming(client.nowMs());
        resumes = call.output().hasEvents();
    }

    /** Acquires a connection to the engine, over which the item is then sent. */
    void start() {
        client.connections().acquire(engine.id(), engine.address(), engine.connectionLimit(), true, this);
    }

    @Override
    public void onAcquireFailed(EngineConnectionPool.Failure failure) {
        synchronized (call) {
            if (call.isCurrent(this)) {
                boolean limitReached = failure == EngineConnectionPool.Failure.LIMIT_REACHED;
                fail(limitReached ? AttemptOutcome.NOT_RUN : AttemptOutcome.NOT_SENT);
            }
        }
    }

    @Override
    public void onAcquired(PooledConnection acquired) {
        synchronized (call) {
            if (!call.isCurrent(this)) {
                client.connections().releaseUnused(acquired);
                return;
            }
            long nowMs = client.nowMs();
            engineRequest = EngineRequestFactory.forItem(
                    client.engineClient(),
                    call.item(),
                    engine.address(),
                    engine.id(),
                    resumes ? call.output().position() : null);
            connection.attach(acquired, engineRequest);
            timing.onSent(nowMs);
            client.loadBalancer().onRequestSent(engine.id(), nowMs);
        }
        acquired.connection().send(engineRequest, this);
    }

    @Override
    public void onHeaders(Response response) {
        synchronized (call) {
            if (!call.isCurrent(this)) {
                return;
            }
            long nowMs = client.nowMs();
            responseHead = response;
            timing.onActivity(nowMs);
            if (ResponseKind.isUnattributable(response, call.item().attemptId())) {
                fail(AttemptOutcome.BROKEN);
                return;
            }
            client.loadBalancer().onResponseBytes(engine.id(), nowMs);
            responseKind = ResponseKind.of(response, engine.id());
            if (responseKind == ResponseKind.SUCCESS) {
                startStream(response.getHeaders());
            }
        }
    }

    /** Records the weight version of a new output, or fails an attempt to resume one with other weights. */
    private void startStream(HttpFields headers) {
        String weights = headers.get(Headers.WEIGHT_VERSIONS);
        StreamPosition position = call.output().position();
        if (!resumes) {
            position.recordWeightVersion(weights);
        } else if (!position.isCompatibleWith(weights)) {
            fail(AttemptOutcome.BROKEN);
        }
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        synchronized (call) {
            if (!call.isCurrent(this)) {
                return;
            }
            long nowMs = client.nowMs();
            timing.onBodyBytes(nowMs);
            client.loadBalancer().onResponseBytes(engine.id(), nowMs);
            if (responseKind == ResponseKind.SUCCESS && !appendEvents(content)) {
                fail(AttemptOutcome.BROKEN);
            }
        }
    }

    /** Appends the complete events of {@code content} to the output; returns false if the stream is broken. */
    private boolean appendEvents(ByteBuffer content) {
        try {
            for (StreamEvent event : events.feed(content)) {
                if (!call.output().append(event)) {
                    return false;
                }
            }
            return true;
        } catch (EventSplitter.OversizedEventException oversized) {
            return false;
        }
    }

    @Override
    public void onComplete(Result result) {
        synchronized (call) {
            if (!call.isCurrent(this)) {
                return;
            }
            if (result.isFailed() || responseKind == null) {
                if (responseHead == null) {
                    connection.recordIfStale(timing, client.nowMs());
                }
                fail(AttemptOutcome.BROKEN);
            } else {
                complete();
            }
        }
    }

    private void complete() {
        switch (responseKind) {
            case SUCCESS -> {
                if (events.hasPartialEvent() || !call.output().hasEvents()) {
                    fail(AttemptOutcome.BROKEN);
                    return;
                }
                connection.release(responseHead.getHeaders());
                end(AttemptOutcome.ANSWERED);
                call.onCompleted();
            }
            case FAILURE -> {
                connection.release(responseHead.getHeaders());
                end(AttemptOutcome.FAILED);
                call.onEngineFailure(engine.id(), responseHead.getStatus());
            }
            case NOT_RUN, MISDIRECTED -> {
                connection.release(responseHead.getHeaders());
                fail(responseKind.attemptOutcome().orElseThrow());
            }
            case BROKEN -> fail(AttemptOutcome.BROKEN);
        }
    }

    /** Fails the attempt if the engine has sent nothing for {@link ItemClient#SILENCE_TIMEOUT_MS}. */
    void checkSilence(long nowMs) {
        if (nowMs - timing.lastActivityMs() > ItemClient.SILENCE_TIMEOUT_MS) {
            fail(AttemptOutcome.ATTEMPT_TIMEOUT);
        }
    }

    private void fail(AttemptOutcome outcome) {
        end(outcome);
        call.onAttemptFailed(engine.id(), outcome);
    }

    /** Releases all resources; the connection is closed first, so that no more of the request can be sent. */
    void end(AttemptOutcome outcome) {
        client.loadBalancer().onAttemptEnded(engine.id(), selection, outcome, timing.firstByteMs(), client.nowMs());
        connection.discard();
        if (engineRequest != null && outcome != AttemptOutcome.ANSWERED) {
            engineRequest.abort(new IOException("attempt ended: " + outcome));
        }
    }
}
