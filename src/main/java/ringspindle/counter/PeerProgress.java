package ringspindle.counter;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import ringspindle.protocol.Message.CounterPosition;
import ringspindle.protocol.Message.CounterVector;

/** What one peer holds and has been sent, over the connection that stands. */
final class PeerProgress {
    static final long NEVER_MS = Long.MIN_VALUE / 2;
    /** A node that has no vote and was not heard for so long is gone for good. */
    static final long GONE_MS = 60 * 60_000L;

    private final Map<Long, Long> known = new HashMap<>();
    private final Map<Long, Long> sent = new HashMap<>();
    /** Stores that the peer has lost: what comes late from before says nothing of what it holds now. */
    private final Set<Long> lostStores = new HashSet<>();

    private Map<Long, Long> full = Map.of();
    private long store;
    private boolean introduced;
    private boolean told;
    private boolean joined;
    private long introducedMs = NEVER_MS;
    private long lastSentMs = NEVER_MS;
    private long heardMs = NEVER_MS;
    private long vectorSentMs = NEVER_MS;
    private long vectorSentVersion;

    /** A new connection stands: what was sent over an older one may be lost, and the peer may have lost its disk. */
    void reset() {
        introduced = false;
        told = false;
        joined = false;
        known.clear();
        sent.clear();
        full = Map.of();
    }

    /** The peer says that it takes messages about counters. */
    void introduce(long nowMs) {
        introduced = true;
        introducedMs = nowMs;
    }

    /** True if the peer takes messages about counters. */
    boolean introduced() {
        return introduced;
    }

    /** True once the peer has told all that it holds. */
    boolean told() {
        return introduced && told;
    }

    /** True if the peer said that it has taken what others held when it started. */
    boolean joined() {
        return introduced && joined;
    }

    /** True if the peer was in touch so lately that it may hold increments of its own which nobody else knows. */
    boolean counts(long nowMs) {
        return introducedMs != NEVER_MS && nowMs - Math.max(introducedMs, heardMs) < GONE_MS;
    }

    /** For how long the peer has taken messages over this connection, in milliseconds. */
    long introducedForMs(long nowMs) {
        return nowMs - introducedMs;
    }

    /** The peer's store, 0 while unknown. */
    long store() {
        return store;
    }

    /** Takes what the peer says of itself; false if that is of a store that it has lost. */
    boolean receive(CounterVector vector, long nowMs) {
        if (lostStores.contains(vector.store())) {
            return false;
        }
        if (store != 0 && store != vector.store()) {
            lostStores.add(store);
            known.clear();
            sent.clear();
        }
        store = vector.store();
        heardMs = nowMs;
        joined = vector.joined();
        vector.positions().forEach(position -> receive(position, vector.full()));
        if (vector.full()) {
            told = true;
            full = Map.copyOf(known);
            forgetUnanswered(nowMs);
        }
        return true;
    }

    /** An answer without progress: what was sent did not fit behind what the peer holds, and is to be sent again. */
    private void receive(CounterPosition position, boolean full) {
        boolean progress = position.sequence() > known(position.origin());
        if (progress) {
            known.put(position.origin(), position.sequence());
        } else if (!full) {
            sent.remove(position.origin());
        }
    }

    /** What was sent some time ago and is still not held was lost on its way. */
    private void forgetUnanswered(long nowMs) {
        if (nowMs - lastSentMs >= CounterReplica.RESEND_MS) {
            sent.clear();
        }
    }

    /** The last increment of that origin that the peer holds on disk. */
    long known(long origin) {
        return known.getOrDefault(origin, 0L);
    }

    /** The peer holds the increments of that origin up to that number. */
    void holds(long origin, long sequence) {
        known.merge(origin, sequence, Math::max);
    }

    /** The last increment of that origin that the peer holds or was sent. */
    long sent(long origin) {
        return Math.max(known(origin), sent.getOrDefault(origin, 0L));
    }

    /** The peer is sent increments of that origin up to that number. */
    void send(long origin, long sequence, long nowMs) {
        sent.merge(origin, sequence, Math::max);
        lastSentMs = nowMs;
    }

    /** What the peer held when it last told all. */
    Map<Long, Long> full() {
        return full;
    }

    /** True if the peer is to be told what this node holds. */
    boolean vectorDue(long version, long nowMs) {
        return version != vectorSentVersion && nowMs - vectorSentMs >= CounterReplica.VECTOR_MS;
    }

    /** The peer is told what this node holds. */
    void vectorSent(long version, long nowMs) {
        vectorSentVersion = version;
        vectorSentMs = nowMs;
    }
}
