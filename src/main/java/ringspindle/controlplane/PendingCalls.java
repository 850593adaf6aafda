package ringspindle.controlplane;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import ringspindle.api.Outcome;
import ringspindle.replication.CallKind;
import ringspindle.replication.ReplicatedState;
import ringspindle.time.MonotonicClock;

/** Tracks calls received by this node that are waiting for their outcome, by call id. Thread safe and lock-free. */
final class PendingCalls {
    /**
     * Time after a call was received during which its outcome is delivered. Later the caller has given up and the
     * outcome may be stale.
     */
    private static final int TIMEOUT_MS = 1500;
    /** Timeout of configuration changes, which are larger. */
    private static final int CONFIGURATION_TIMEOUT_MS = 3000;

    private static final byte[] NO_BODY = {};

    /** Receives the outcome of a call. */
    @FunctionalInterface
    public interface Callback {
        /**
         * Called when the call is complete; {@code body} is the requested data or a text with the reason of a failure.
         */
        void completed(Outcome outcome, byte[] body);
    }

    private record PendingCall(long deadlineMs, Callback callback) {}

    private final MonotonicClock clock;
    private final Executor pool;
    private final AtomicLong lastId;
    private final Map<Long, PendingCall> pending = new ConcurrentHashMap<>();

    /**
     * Creates an instance without pending calls.
     *
     * @param pool runs callbacks
     * @param startId random, because replies are matched by call id alone and a reply to a call of an earlier process
     *     may arrive after a restart
     */
    PendingCalls(MonotonicClock clock, Executor pool, long startId) {
        this.clock = clock;
        this.pool = pool;
        lastId = new AtomicLong(startId);
    }

    /** Registers a call that was received at the given time and returns its id. */
    long register(CallKind kind, long receivedMs, Callback callback) {
        long id = lastId.incrementAndGet();
        int timeoutMs = kind.changesConfiguration() ? CONFIGURATION_TIMEOUT_MS : TIMEOUT_MS;
        pending.put(id, new PendingCall(receivedMs + timeoutMs, callback));
        return id;
    }

    /** Delivers the outcome of a call, once, on a pool thread. */
    void complete(ReplicatedState.Output.Answer answer) {
        PendingCall call = pending.remove(answer.call());
        if (call != null) {
            pool.execute(() -> complete(call, answer));
        }
    }

    /**
     * Delivers the outcome, or {@code UNCLEAR} if the deadline has passed, for example after a process pause: the
     * outcome may be based on stale state by then.
     */
    private void complete(PendingCall call, ReplicatedState.Output.Answer answer) {
        if (clock.nowMs() < call.deadlineMs()) {
            call.callback().completed(answer.outcome(), answer.body());
        } else {
            call.callback().completed(Outcome.UNCLEAR, NO_BODY);
        }
    }
}
