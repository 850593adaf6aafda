package ringspindle.counter;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ringspindle.protocol.Message.CounterAdd;
import ringspindle.protocol.NodeId;

/** Increments on their way to the disk, in the order in which they were queued. */
final class WriteQueue {
    /** A disk that has not synced for so long is stalled: a call that needs it is better taken by another node. */
    static final long STALLED_MS = 400;

    /** A disk that stands still for long must not fill the memory; peers send again what is not taken. */
    private static final int WRITES_MAX = 10_000;

    /**
     * One write.
     *
     * @param adds may be none
     * @param from the peer that sent them, null if they were accepted here
     */
    record Write(List<CounterAdd> adds, NodeId from, long sinceMs) {}

    private final Map<Long, Write> writes = new LinkedHashMap<>();
    private long lastToken;

    /** A write was queued; returns its token. */
    long add(List<CounterAdd> adds, NodeId from, long nowMs) {
        writes.put(++lastToken, new Write(adds, from, nowMs));
        return lastToken;
    }

    /** A write is synced; null if there is none of that token. */
    Write remove(long token) {
        return writes.remove(token);
    }

    /** All increments that are queued, in order. */
    List<CounterAdd> adds() {
        List<CounterAdd> adds = new ArrayList<>();
        writes.values().forEach(write -> adds.addAll(write.adds()));
        return adds;
    }

    /** The queued increment of an id, empty if there is none. */
    Optional<CounterAdd> find(String counter, String instance) {
        return writes.values().stream()
                .flatMap(write -> write.adds().stream())
                .filter(add -> add.counter().equals(counter) && add.instance().equals(instance))
                .findFirst();
    }

    /** True while so much is queued that nothing more may be. */
    boolean full() {
        return writes.size() >= WRITES_MAX;
    }

    /** True while the oldest write has waited for too long. */
    boolean stalled(long nowMs) {
        return !writes.isEmpty() && nowMs - writes.values().iterator().next().sinceMs() > STALLED_MS;
    }
}
