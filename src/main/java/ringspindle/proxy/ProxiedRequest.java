package ringspindle.proxy;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.EofException;
import ringspindle.api.Outcome;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.retry.Action;
import ringspindle.retry.Attempt;
import ringspindle.retry.AttemptOutcome;
import ringspindle.retry.CancelCause;
import ringspindle.retry.RetryDecision;
import ringspindle.retry.RetryPolicy;

/**
 * One request from its admission to its last byte: it owns the action, selects engines, waits for capacity, and
 * executes the retry decision after each attempt.
 *
 * <p>This object is the lock of the request and of its attempts. The response is written by the caller that made the
 * action's single transition to a terminal state, so a client never gets two responses.
 */
final class ProxiedRequest implements ActiveRequests.Cancellable {
    /** Subtracted from the client's deadline to allow for the way of the response to the client. */
    private static final int RESPONSE_LATENCY_MS = 15;

    /** Waiting for capacity ends this long before the deadline. */
    private static final int WAIT_MARGIN_MS = 50;

    private static final int DEFAULT_RETRY_AFTER_MS = 300;
    private static final long ANY_WEIGHT_VERSION = -1;

    /** The phase of a request. */
    private enum Phase {
        /** No attempt is in progress; the request may be queued. */
        WAITING,
        ATTEMPTING,
        /** The client got its response or closed the connection. */
        ENDED
    }

    private final ProxyHandler proxy;
    private final AdmittedRequest admitted;
    private final ClientResponse client;
    private final Action action;
    private final RetryPolicy policy;
    private final RequestTimeLimits limits;
    private final StreamPosition position;
    private final CapacityWait capacityWait = new CapacityWait();
    private final Set<String> attemptedEngines = new HashSet<>(4);

    private Phase phase = Phase.WAITING;
    /** The attempt in progress, null unless ATTEMPTING. */
    private ProxiedAttempt current;
    /** True once output has reached the client, so that a further attempt resumes after it. */
    private boolean resuming;
    /** How many times the request was sent to an engine; every further time is a retry. */
    private int sentCount;

    /** The outcome for the client if the request is abandoned before any engine executed it. */
    private Outcome refusal = Outcome.NO_ROOM;

    private long retryAfterMs = DEFAULT_RETRY_AFTER_MS;
    private final RequestTimer timer;

    ProxiedRequest(ProxyHandler proxy, AdmittedRequest admitted, ClientResponse client) {
        this.proxy = proxy;
        this.admitted = admitted;
        this.client = client;
        long nowMs = proxy.nowMs();
        long timeLimitMs = Math.max(0, admitted.deadlineMs() - RESPONSE_LATENCY_MS - nowMs);
        action = Action.open(proxy.nextActionId(), nowMs, timeLimitMs, proxy);
        policy = admitted.retryPolicy();
        limits = new RequestTimeLimits(admitted);
        timer = new RequestTimer(proxy, this::onTimer);
        position = StreamPosition.after(admitted.headers().get(Headers.LAST_EVENT_ID));
        proxy.ledger().onAdmitted(action.id(), admitted.rulesRevision(), admitted.servingClass(), policy.repeatable());
    }

    /** Starts to watch the client's connection and selects the first engine. */
    void start() {
        if (admitted.request().getConnectionMetaData().getConnection().getEndPoint()
                instanceof ClientEndPoint endPoint) {
            action.onEnd(endPoint::unwatch);
            endPoint.watch(this::onClientGone);
        }
        synchronized (this) {
            startAttempt();
        }
    }

    // ---- engine selection

    /** Continues after a wait in the queue. */
    synchronized void onDequeued() {
        if (phase == Phase.WAITING) {
            startAttempt();
        }
    }

    /** Selects an engine and starts an attempt; checks first that the action is still live. */
    private void startAttempt() {
        long nowMs = proxy.nowMs();
        if (!action.isLive(nowMs)) {
            if (action.state() == Action.State.ACTIVE) {
                onDeadline(nowMs);
            }
            return;
        }
        long weightVersion = resuming ? position.weightVersion() : ANY_WEIGHT_VERSION;
        LoadBalancer.SelectionRequest selection = admitted.selectionRequest(
                attemptedEngines, weightVersion, proxy.nextRandom(), capacityWait.elapsedMs(nowMs));
        LoadBalancer.Selection selected = proxy.loadBalancer().select(selection, nowMs);
        if (selected instanceof LoadBalancer.NoCapacity none) {
            refusal = none.outcome();
            retryAfterMs = none.retryAfterMs();
            waitForCapacity(nowMs);
            return;
        }
        capacityWait.end();
        LoadBalancer.SelectedEngine engine = (LoadBalancer.SelectedEngine) selected;
        Attempt scope = action.startAttempt(nowMs, attemptTimeoutMs());
        if (scope == null) {
            proxy.loadBalancer().onAttemptEnded(engine.id(), selection, AttemptOutcome.PARENT_ENDED, -1, nowMs);
            return;
        }
        ProxiedAttempt attempt = new ProxiedAttempt(this, proxy, scope, selection, engine, resuming);
        current = attempt;
        phase = Phase.ATTEMPTING;
        armTimer();
        attempt.start(policy.repeatable());
    }

    /** Returns the timeout of an attempt; 0 if no other attempt could follow it. */
    private long attemptTimeoutMs() {
        boolean anotherMayFollow = policy.repeatable() && action.attemptCount() + 1 < policy.maxAttempts();
        return anotherMayFollow ? limits.attemptTimeoutMs() : 0;
    }

    /** Queues the request until capacity is available or its waiting time is over. */
    private void waitForCapacity(long nowMs) {
        phase = Phase.WAITING;
        if (!capacityWait.isActive()) {
            boolean started = action.mayHaveRun() || action.isResponseCommitted();
            capacityWait.begin(
                    nowMs,
                    Math.min(nowMs + limits.capacityWaitMs(started, nowMs), action.deadlineMs() - WAIT_MARGIN_MS));
        }
        if (capacityWait.isExpired(nowMs)) {
            giveUp(nowMs);
            return;
        }
        proxy.enqueue(this);
    }

    // ---- called by attempts, under the lock

    /** Returns true while the request may still be sent to an engine. */
    boolean isLive(long nowMs) {
        return action.isLive(nowMs);
    }

    /** Creates the request that is sent to the engine. */
    Request createEngineRequest(LoadBalancer.SelectedEngine engine, boolean resumes, long nowMs) {
        long timeLeftMs = action.deadlineMs() - nowMs;
        return proxy.engineRequests()
                .create(admitted, engine.address(), engine.id(), timeLeftMs, resumes ? position : null);
    }

    /** Records that the request is sent to an engine. */
    void onSent(boolean resumes) {
        proxy.ledger().onSent(action.id(), resumes);
        sentCount++;
    }

    /** Sets the response headers to those of the first engine before the first event; returns false if too late. */
    boolean commit(Response head, long nowMs) {
        if (action.isResponseCommitted()) {
            return true;
        }
        if (!action.isLive(nowMs)) {
            return false;
        }
        client.setStreamHeaders(head, proxy.isShuttingDown());
        action.commitResponse();
        return true;
    }

    /** Handles the end of an attempt without a response that may be forwarded. */
    void onAttemptFailed(ProxiedAttempt attempt, AttemptOutcome outcome) {
        long nowMs = proxy.nowMs();
        attemptedEngines.add(attempt.instanceId());
        RetryDecision decision = endAttempt(attempt, outcome, nowMs);
        boolean noFreeConnection = outcome == AttemptOutcome.NOT_RUN && !attempt.wasSent();
        if (decision == RetryDecision.FALLBACK && noFreeConnection) {
            // Nothing was sent, so the same engine may be selected again.
            attemptedEngines.remove(attempt.instanceId());
            waitForCapacity(nowMs);
            return;
        }
        if (decision == RetryDecision.FALLBACK && attempt.hasBufferedEvents()) {
            giveUp(nowMs);
            return;
        }
        execute(decision, nowMs);
    }

    /** Handles a failure response; returns the task that forwards it, null if something else follows. */
    Runnable onEngineFailure(ProxiedAttempt attempt, long nowMs) {
        RetryDecision decision = endAttempt(attempt, AttemptOutcome.FAILED, nowMs);
        if (decision == RetryDecision.FAIL && action.complete(nowMs)) {
            // No retry: the failure response is forwarded.
            end();
            return attempt.bufferedResponse();
        }
        execute(decision, nowMs);
        return null;
    }

    /** Handles a complete response; returns true if it is the one for the client, which the caller then writes. */
    boolean onResponseCompleted(ProxiedAttempt attempt, long nowMs) {
        endAttempt(attempt, AttemptOutcome.ANSWERED, nowMs);
        if (!action.complete(nowMs)) {
            return false;
        }
        end();
        return true;
    }

    // ---- end of attempts and of the request

    /** Ends an attempt, releases its resources, and returns the retry decision. */
    private RetryDecision endAttempt(ProxiedAttempt attempt, AttemptOutcome outcome, long nowMs) {
        if (current == attempt) {
            current = null;
            phase = Phase.WAITING;
        }
        RetryDecision decision = action.endAttempt(attempt.scope(), outcome, policy, nowMs);
        AttemptOutcome actual = attempt.scope().outcome();
        if (attempt.wasSent() && actual.notRun()) {
            proxy.ledger().onNotRun(action.id());
        }
        attempt.end(actual, nowMs);
        return decision;
    }

    private void execute(RetryDecision decision, long nowMs) {
        switch (decision) {
            case FALLBACK:
                if (sentCount == 0 || tryAcquireRetry(nowMs)) {
                    startAttempt();
                } else {
                    giveUp(nowMs);
                }
                break;
            case RESUME:
                if (position.isResumable() && tryAcquireRetry(nowMs)) {
                    resuming = true;
                    startAttempt();
                } else {
                    abort(nowMs);
                }
                break;
            case BREAK_OFF:
                abort(nowMs);
                break;
            case REFUSE:
            case FAIL:
                if (nowMs >= action.deadlineMs()) {
                    onDeadline(nowMs);
                } else {
                    giveUp(nowMs);
                }
                break;
            case NOTHING:
                break;
        }
    }

    private boolean tryAcquireRetry(long nowMs) {
        return proxy.loadBalancer().tryAcquireRetry(admitted.service(), nowMs);
    }

    private void giveUp(long nowMs) {
        fail(CancelCause.GIVEN_UP, action.mayHaveRun() ? Outcome.BROKEN : refusal, nowMs);
    }

    private void onDeadline(long nowMs) {
        fail(CancelCause.OVERALL_DEADLINE, action.mayHaveRun() ? Outcome.OVERDUE : Outcome.NO_TIME, nowMs);
    }

    private void fail(CancelCause cause, Outcome outcome, long nowMs) {
        if (action.isResponseCommitted()) {
            abort(cause, nowMs);
        } else if (action.cancel(cause, nowMs)) {
            cancelAttempt(nowMs);
            end();
            client.respond(outcome, retryAfterMs, proxy.isShuttingDown());
        }
    }

    private void abort(long nowMs) {
        boolean overdue = nowMs >= action.deadlineMs();
        abort(overdue ? CancelCause.OVERALL_DEADLINE : CancelCause.GIVEN_UP, nowMs);
    }

    private void abort(CancelCause cause, long nowMs) {
        if (action.cancel(cause, nowMs)) {
            cancelAttempt(nowMs);
            end();
            client.abort(new IOException("response is incomplete"));
        }
    }

    @Override
    public synchronized void onNodeTermination() {
        Outcome outcome = action.mayHaveRun() ? Outcome.BROKEN : Outcome.LEAVING;
        fail(CancelCause.NODE_ENDS, outcome, proxy.nowMs());
    }

    /** Called when the client closed its connection or a write to it failed. */
    void onClientGone() {
        synchronized (this) {
            long nowMs = proxy.nowMs();
            if (!action.cancel(CancelCause.CLIENT_GONE, nowMs)) {
                return;
            }
            cancelAttempt(nowMs);
            end();
        }
        client.abort(new EofException("client closed the connection"));
    }

    private void cancelAttempt(long nowMs) {
        if (current != null) {
            endAttempt(current, AttemptOutcome.PARENT_ENDED, nowMs);
        }
    }

    private void end() {
        phase = Phase.ENDED;
        timer.clear();
    }

    // ---- timer

    /** Sets the timer to the next timeout or deadline. */
    void armTimer() {
        boolean attemptMayTimeOut = current != null && current.hasOwnTimeout();
        timer.set(attemptMayTimeOut ? Math.min(action.deadlineMs(), current.timeoutAtMs()) : action.deadlineMs());
    }

    private synchronized void onTimer() {
        long nowMs = proxy.nowMs();
        if (phase == Phase.ENDED || action.state() != Action.State.ACTIVE) {
            return;
        }
        if (nowMs >= action.deadlineMs()) {
            onDeadline(nowMs);
            return;
        }
        ProxiedAttempt attempt = current;
        if (attempt != null && attempt.hasOwnTimeout() && nowMs >= attempt.timeoutAtMs()) {
            attempt.onTimeout();
        }
        if (attempt != null && attempt == current) {
            armTimer();
        }
    }

    // ---- accessors

    AdmittedRequest admitted() {
        return admitted;
    }

    ClientResponse client() {
        return client;
    }

    /** Returns the position of the client's stream. */
    StreamPosition position() {
        return position;
    }

    String actionId() {
        return action.id();
    }

    boolean isCommitted() {
        return action.isResponseCommitted();
    }

    RequestTimeLimits limits() {
        return limits;
    }
}
