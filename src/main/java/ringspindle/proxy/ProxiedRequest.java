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
 * One request from its admission to its last byte: it owns the action, selects engines, waits for capacity, and carries out
 * what the retry rule decides after each attempt.
 *
 * <p>This object is the lock of the request and of its attempts. The answer is written by whoever made the action's one
 * transition to an end, so that a client never gets two.
 */
final class ProxiedRequest implements ActiveRequests.Cancellable {
    /** Default: what the way back takes, kept from the client's deadline. */
    private static final int RETURN_MS = 15;

    /** No request waits for capacity closer to its deadline than this. */
    private static final int WAIT_END_MS = 50;

    private static final int RETRY_AFTER_MS = 300;
    private static final long ANY_WEIGHTS = -1;

    /** Where a request stands. */
    private enum Phase {
        /** No attempt is under way; it may be in the queue. */
        WAITING,
        ATTEMPTING,
        /** The client has its answer, or is gone. */
        ENDED
    }

    private final ProxyHandler proxy;
    private final AdmittedRequest admitted;
    private final ClientResponse client;
    private final Action action;
    private final RetryPolicy policy;
    private final RequestTimeLimits limits;
    private final StreamPosition position;
    private final CapacityWait wait = new CapacityWait();
    private final Set<String> attemptedEngines = new HashSet<>(4);

    private Phase phase = Phase.WAITING;
    /** The attempt under way, null unless ATTEMPTING. */
    private ProxiedAttempt current;
    /** Output has reached the client, so that a further attempt goes on behind it. */
    private boolean resuming;
    /** How many engines got to see the request; the next is a retry. */
    private int sent;

    /** What the client is told if nothing has run by the time it is given up. */
    private Outcome refusal = Outcome.NO_ROOM;

    private long retryAfterMs = RETRY_AFTER_MS;
    private final RequestTimer timer;

    ProxiedRequest(ProxyHandler proxy, AdmittedRequest admitted, ClientResponse client) {
        this.proxy = proxy;
        this.admitted = admitted;
        this.client = client;
        long nowMs = proxy.nowMs();
        long timeLimitMs = Math.max(0, admitted.deadlineMs() - RETURN_MS - nowMs);
        action = Action.open(proxy.nextActionId(), nowMs, timeLimitMs, proxy);
        policy = admitted.retryPolicy();
        limits = new RequestTimeLimits(admitted);
        timer = new RequestTimer(proxy, this::onTimer);
        position = StreamPosition.after(admitted.headers().get(Headers.LAST_EVENT_ID));
        proxy.ledger().onAdmitted(action.id(), admitted.rulesRevision(), admitted.className(), policy.repeatable());
    }

    /** Starts: watches the client's connection and selects the first engine. */
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

    // ---- selection

    /** Goes on after a wait in the queue. */
    synchronized void onDequeued() {
        if (phase == Phase.WAITING) {
            startAttempt();
        }
    }

    /** Selects an engine and starts an attempt there; asks anew whether the action is live, as time went by. */
    private void startAttempt() {
        long nowMs = proxy.nowMs();
        if (!action.isLive(nowMs)) {
            if (action.state() == Action.State.ACTIVE) {
                onDeadline(nowMs);
            }
            return;
        }
        long weights = resuming ? position.weightVersion() : ANY_WEIGHTS;
        LoadBalancer.SelectionRequest selection =
                admitted.selectionRequest(attemptedEngines, weights, proxy.nextRandom(), wait.elapsedMs(nowMs));
        LoadBalancer.Selection selected = proxy.loadBalancer().select(selection, nowMs);
        if (selected instanceof LoadBalancer.NoCapacity none) {
            refusal = none.outcome();
            retryAfterMs = none.retryAfterMs();
            waitForCapacity(nowMs);
            return;
        }
        wait.end();
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

    /** How long an attempt may take by itself; 0 where no other could follow it. */
    private long attemptTimeoutMs() {
        boolean anotherMayFollow = policy.repeatable() && action.attemptCount() + 1 < policy.maxAttempts();
        return anotherMayFollow ? limits.attemptMs() : 0;
    }

    /** Waits for capacity, but not longer than helps. */
    private void waitForCapacity(long nowMs) {
        phase = Phase.WAITING;
        if (!wait.isUnderWay()) {
            boolean begun = action.mayHaveRun() || action.isResponseCommitted();
            wait.begin(nowMs, Math.min(nowMs + limits.waitMs(begun, nowMs), action.deadlineMs() - WAIT_END_MS));
        }
        if (wait.isOver(nowMs)) {
            giveUp(nowMs);
            return;
        }
        proxy.enqueue(this);
    }

    // ---- for attempts, under the lock

    /** True while something may still be sent for the client. */
    boolean isLive(long nowMs) {
        return action.isLive(nowMs);
    }

    /** The request as it goes to that engine. */
    Request createEngineRequest(LoadBalancer.SelectedEngine engine, boolean resumes, long nowMs) {
        long timeLeftMs = action.deadlineMs() - nowMs;
        return proxy.engineRequests()
                .create(admitted, engine.address(), engine.id(), timeLeftMs, resumes ? position : null);
    }

    /** Notes that the request goes out to an engine. */
    void onSent(boolean resumes) {
        proxy.ledger().onSent(action.id(), resumes);
        sent++;
    }

    /** Before the first event is passed on: sets the head, which is that of the first engine; false if it is too late. */
    boolean commit(Response head, long nowMs) {
        if (action.isResponseCommitted()) {
            return true;
        }
        if (!action.isLive(nowMs)) {
            return false;
        }
        client.setStreamHead(head, proxy.isLeaving());
        action.commitResponse();
        return true;
    }

    /** An attempt has ended without an answer that the client may have. */
    void onAttemptFailed(ProxiedAttempt attempt, AttemptOutcome outcome) {
        long nowMs = proxy.nowMs();
        attemptedEngines.add(attempt.instanceId());
        RetryDecision decision = endAttempt(attempt, outcome, nowMs);
        boolean noFreeConnection = outcome == AttemptOutcome.NOT_RUN && !attempt.wasSent();
        if (decision == RetryDecision.FALLBACK && noFreeConnection) {
            // nothing reached the engine, which may be asked again
            attemptedEngines.remove(attempt.instanceId());
            waitForCapacity(nowMs);
            return;
        }
        if (decision == RetryDecision.FALLBACK && attempt.holdsEvents()) {
            giveUp(nowMs);
            return;
        }
        carryOut(decision, nowMs);
    }

    /** The engine says that it failed; returns what writes its answer to the client, null if something else follows. */
    Runnable onEngineFailure(ProxiedAttempt attempt, long nowMs) {
        RetryDecision decision = endAttempt(attempt, AttemptOutcome.FAILED, nowMs);
        if (decision == RetryDecision.FAIL && action.complete(nowMs)) {
            // the engine's own failure is its answer
            end();
            return attempt.bufferedAnswer();
        }
        carryOut(decision, nowMs);
        return null;
    }

    /** An engine's answer has come whole; true if it is the client's answer, which the caller has to write. */
    boolean onAnswered(ProxiedAttempt attempt, long nowMs) {
        endAttempt(attempt, AttemptOutcome.ANSWERED, nowMs);
        if (!action.complete(nowMs)) {
            return false;
        }
        end();
        return true;
    }

    // ---- ends

    /** Ends an attempt, frees what it held, and returns what is to follow. */
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

    private void carryOut(RetryDecision decision, long nowMs) {
        switch (decision) {
            case FALLBACK:
                if (sent == 0 || tryAcquireRetry(nowMs)) {
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
                    breakOff(nowMs);
                }
                break;
            case BREAK_OFF:
                breakOff(nowMs);
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
        endWithoutAnswer(CancelCause.GIVEN_UP, action.mayHaveRun() ? Outcome.BROKEN : refusal, nowMs);
    }

    private void onDeadline(long nowMs) {
        endWithoutAnswer(CancelCause.OVERALL_DEADLINE, action.mayHaveRun() ? Outcome.OVERDUE : Outcome.NO_TIME, nowMs);
    }

    private void endWithoutAnswer(CancelCause cause, Outcome outcome, long nowMs) {
        if (action.isResponseCommitted()) {
            breakOff(cause, nowMs);
        } else if (action.cancel(cause, nowMs)) {
            abandonAttempt(nowMs);
            end();
            client.respond(outcome, retryAfterMs, proxy.isLeaving());
        }
    }

    private void breakOff(long nowMs) {
        boolean overdue = nowMs >= action.deadlineMs();
        breakOff(overdue ? CancelCause.OVERALL_DEADLINE : CancelCause.GIVEN_UP, nowMs);
    }

    private void breakOff(CancelCause cause, long nowMs) {
        if (action.cancel(cause, nowMs)) {
            abandonAttempt(nowMs);
            end();
            client.abort(new IOException("the answer is not whole"));
        }
    }

    @Override
    public synchronized void onNodeEnds() {
        Outcome outcome = action.mayHaveRun() ? Outcome.BROKEN : Outcome.LEAVING;
        endWithoutAnswer(CancelCause.NODE_ENDS, outcome, proxy.nowMs());
    }

    /** The client's connection has ended, or what is written there fails. */
    void onClientGone() {
        synchronized (this) {
            long nowMs = proxy.nowMs();
            if (!action.cancel(CancelCause.CLIENT_GONE, nowMs)) {
                return;
            }
            abandonAttempt(nowMs);
            end();
        }
        client.abort(new EofException("the client is gone"));
    }

    private void abandonAttempt(long nowMs) {
        if (current != null) {
            endAttempt(current, AttemptOutcome.PARENT_ENDED, nowMs);
        }
    }

    private void end() {
        phase = Phase.ENDED;
        timer.clear();
    }

    // ---- time

    /** Sets the timer to the next thing that is due. */
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

    // ---- what it is

    AdmittedRequest admitted() {
        return admitted;
    }

    ClientResponse client() {
        return client;
    }

    /** How far the client's stream has come. */
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
