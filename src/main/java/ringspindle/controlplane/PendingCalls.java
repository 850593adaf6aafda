package ringspindle.controlplane;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import ringspindle.api.Outcome;
import ringspindle.replication.CallKind;
import ringspindle.replication.ReplicatedState;
import ringspindle.time.MonotonicClock;

/** Calls that came in at this node and wait for their outcome, by number. Thread safe, without a lock. */
final class PendingCalls {
    /** How long after a call came in its outcome is told; later nobody waits for it, and what it says may be old. */
    private static final int TIMEOUT_MS = 1500;
    /** The same for changes of the configuration, which are larger. */
    private static final int CONFIGURATION_TIMEOUT_MS = 3000;

    private static final byte[] NO_BODY = {};

    /** Told the outcome of a call. */
    @FunctionalInterface
    public interface Callback {
        /** The call is over; {@code body} is what was asked for, or a text that says why it failed. */
        void completed(Outcome outcome, byte[] body);
    }

    private record PendingCall(long deadlineMs, Callback callback) {}

    private final MonotonicClock clock;
    private final Executor pool;
    private final AtomicLong lastId;
    private final Map<Long, PendingCall> pending = new ConcurrentHashMap<>();

    /**
     * No call is pending yet.
     *
     * @param pool runs callbacks
     * @param startId from chance: a reply is matched by the number of its call alone, and may come after a restart
     */
    PendingCalls(MonotonicClock clock, Executor pool, long startId) {
        this.clock = clock;
        this.pool = pool;
        lastId = new AtomicLong(startId);
    }

    /** Registers a call that came in at that time; returns its number. */
    long open(CallKind kind, long arrivedMs, Callback callback) {
        long id = lastId.incrementAndGet();
        int timeoutMs = kind.changesConfiguration() ? CONFIGURATION_TIMEOUT_MS : TIMEOUT_MS;
        pending.put(id, new PendingCall(arrivedMs + timeoutMs, callback));
        return id;
    }

    /** Tells the outcome of a call, once, from a thread of the pool. */
    void complete(ReplicatedState.Output.Answer answer) {
        PendingCall call = pending.remove(answer.call());
        if (call != null) {
            pool.execute(() -> complete(call, answer));
        }
    }

    /** An outcome that comes late, as after a pause of this process, is no longer told: it may rest on what is old by now. */
    private void complete(PendingCall call, ReplicatedState.Output.Answer answer) {
        if (clock.nowMs() < call.deadlineMs()) {
            call.callback().completed(answer.outcome(), answer.body());
        } else {
            call.callback().completed(Outcome.UNCLEAR, NO_BODY);
        }
    }
}
