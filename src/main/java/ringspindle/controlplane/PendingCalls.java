package ringspindle.controlplane;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import ringspindle.api.Outcome;
import ringspindle.replication.CallKind;
import ringspindle.replication.ReplicatedState;
import ringspindle.time.MonotonicClock;

/** Calls under way at this node, by number. Thread safe. */
final class PendingCalls {
    /** How long after a call came in its outcome is told; later nobody waits for it, and what it says may be old. */
    private static final int ANSWER_MS = 1500;

    private static final int ANSWER_CONFIG_MS = 3000;
    private static final byte[] NONE = {};

    /** What comes back of a call. */
    interface Callback {
        void completed(Outcome outcome, byte[] body);
    }

    private record Open(long untilMs, Callback callback) {}

    private final MonotonicClock clock;
    private final Executor pool;
    private final AtomicLong numbers;
    private final Map<Long, Open> open = new ConcurrentHashMap<>();

    /** A reply is matched by the number of its call alone, and may come after a restart: {@code first} is from chance. */
    PendingCalls(MonotonicClock clock, Executor pool, long first) {
        this.clock = clock;
        this.pool = pool;
        numbers = new AtomicLong(first);
    }

    /** The number of a call that came in at that time. */
    long open(CallKind kind, long fromMs, Callback callback) {
        long number = numbers.incrementAndGet();
        boolean config = kind.changesConfiguration();
        open.put(number, new Open(fromMs + (config ? ANSWER_CONFIG_MS : ANSWER_MS), callback));
        return number;
    }

    /** Tells the outcome of a call, once, from a thread of the pool. */
    void complete(ReplicatedState.Out.Answer answer) {
        Open call = open.remove(answer.call());
        if (call != null) {
            pool.execute(() -> tell(call, answer));
        }
    }

    /** An outcome that comes late, as after a freeze, is no longer told: it may rest on what is old by now. */
    private void tell(Open call, ReplicatedState.Out.Answer answer) {
        if (clock.nowMs() < call.untilMs()) {
            call.callback().completed(answer.outcome(), answer.body());
        } else {
            call.callback().completed(Outcome.UNCLEAR, NONE);
        }
    }
}
