package ringspindle.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.retry.AttemptOutcome;

/** One attempt of an item at one engine. All fields are guarded by the monitor of its {@link ItemCall}. */
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
    private Response head;
    private ResponseKind kind;

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
        resumes = call.text().hasEvents();
    }

    void start() {
        client.connections().acquire(engine.id(), engine.address(), engine.connectionLimit(), true, this);
    }

    @Override
    public void onAcquireFailed(EngineConnectionPool.Failure failure) {
        synchronized (call) {
            if (call.isCurrent(this)) {
                boolean full = failure == EngineConnectionPool.Failure.LIMIT_REACHED;
                fail(full ? AttemptOutcome.NOT_RUN : AttemptOutcome.NOT_SENT);
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
                    resumes ? call.text().position() : null);
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
            head = response;
            timing.onActivity(nowMs);
            if (ResponseKind.isUnattributable(response, call.item().attemptId())) {
                fail(AttemptOutcome.BROKEN);
                return;
            }
            client.loadBalancer().onResponseBytes(engine.id(), nowMs);
            kind = ResponseKind.of(response, engine.id());
            if (kind == ResponseKind.SUCCESS) {
                begin(response.getHeaders());
            }
        }
    }

    private void begin(HttpFields fields) {
        String weights = fields.get(Headers.WEIGHT_VERSIONS);
        StreamPosition position = call.text().position();
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
            if (kind == ResponseKind.SUCCESS && !takeEvents(content)) {
                fail(AttemptOutcome.BROKEN);
            }
        }
    }

    private boolean takeEvents(ByteBuffer content) {
        try {
            for (StreamEvent event : events.feed(content)) {
                if (!call.text().add(event)) {
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
            if (result.isFailed() || kind == null) {
                if (head == null) {
                    connection.recordIfStale(timing, client.nowMs());
                }
                fail(AttemptOutcome.BROKEN);
            } else {
                complete();
            }
        }
    }

    private void complete() {
        switch (kind) {
            case SUCCESS -> {
                if (events.hasPartialEvent() || !call.text().hasEvents()) {
                    fail(AttemptOutcome.BROKEN);
                    return;
                }
                connection.release(head.getHeaders());
                end(AttemptOutcome.ANSWERED);
                call.onCompleted();
            }
            case FAILURE -> {
                connection.release(head.getHeaders());
                end(AttemptOutcome.FAILED);
                call.onEngineFailure(engine.id(), head.getStatus());
            }
            case NOT_RUN, MISDIRECTED -> {
                connection.release(head.getHeaders());
                fail(kind.attemptOutcome().orElseThrow());
            }
            case BROKEN -> fail(AttemptOutcome.BROKEN);
        }
    }

    void checkSilence(long nowMs) {
        if (nowMs - timing.lastActivityMs() > ItemClient.SILENCE_MS) {
            fail(AttemptOutcome.ATTEMPT_TIMEOUT);
        }
    }

    private void fail(AttemptOutcome outcome) {
        end(outcome);
        call.onAttemptFailed(engine.id(), outcome);
    }

    /** Frees what the attempt holds; the connection is closed first, so that nothing of the request can be sent any more. */
    void end(AttemptOutcome outcome) {
        client.loadBalancer().onAttemptEnded(engine.id(), selection, outcome, timing.firstByteMs(), client.nowMs());
        connection.discard();
        if (engineRequest != null && outcome != AttemptOutcome.ANSWERED) {
            engineRequest.abort(new IOException("attempt over: " + outcome));
        }
    }
}
