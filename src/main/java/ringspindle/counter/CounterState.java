package ringspindle.counter;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.CounterAdd;
import ringspindle.protocol.Message.CounterAdds;
import ringspindle.protocol.Message.CounterPosition;
import ringspindle.protocol.Message.CounterSnapshot;
import ringspindle.protocol.NodeId;

/** The increments that one node holds: by the store that accepted them, and as totals. */
final class CounterState {
    /** Increments in one message or record. */
    static final int BATCH_MAX = 512;

    private final long store;
    private final Map<Long, OriginLog> logs = new TreeMap<>();
    private CounterTable table = new CounterTable();
    private long version = 1;

    private CounterState(long store) {
        this.store = store;
        logs.put(store, new OriginLog(0));
    }

    /** Reads the records found on disk, oldest first; a store that wrote none gets that new number. */
    static CounterState load(List<Message> found, long newStore) {
        CounterState state = new CounterState(storeOf(found).orElse(newStore));
        for (Message record : found) {
            if (record instanceof CounterSnapshot snapshot) {
                state.restore(snapshot);
            } else if (record instanceof CounterAdds adds) {
                adds.items().forEach(state::applyNext);
            }
        }
        return state;
    }

    private static Optional<Long> storeOf(List<Message> found) {
        return found.stream()
                .filter(CounterSnapshot.class::isInstance)
                .map(record -> ((CounterSnapshot) record).store())
                .findFirst();
    }

    private void restore(CounterSnapshot snapshot) {
        logs.clear();
        logs.put(store, new OriginLog(0));
        snapshot.folded().forEach(position -> logs.put(position.origin(), new OriginLog(position.sequence())));
        table = new CounterTable();
        table.restore(snapshot.totals());
    }

    /** The records of a snapshot: totals, what is remembered one by one, and what is on its way to the disk. */
    List<Message> records(List<CounterAdd> queued) {
        List<Message> records = new ArrayList<>();
        records.add(foldedPart());
        List<CounterAdd> adds = new ArrayList<>();
        logs.values().forEach(log -> adds.addAll(log.after(log.folded(), Integer.MAX_VALUE)));
        adds.addAll(queued);
        records.addAll(batches(adds));
        return records;
    }

    /** The part of the counters that is not remembered one by one. */
    CounterSnapshot foldedPart() {
        List<CounterPosition> folded = new ArrayList<>();
        logs.forEach((origin, log) -> folded.add(new CounterPosition(origin, log.folded())));
        return new CounterSnapshot(store, folded, table.foldedTotals());
    }

    /** Cuts increments into messages. */
    static List<CounterAdds> batches(List<CounterAdd> adds) {
        List<CounterAdds> batches = new ArrayList<>();
        for (int from = 0; from < adds.size(); from += BATCH_MAX) {
            batches.add(new CounterAdds(List.copyOf(adds.subList(from, Math.min(adds.size(), from + BATCH_MAX)))));
        }
        return batches;
    }

    /** The number of this node's store. */
    long store() {
        return store;
    }

    /** Rises with all that changes what peers are told. */
    long version() {
        return version;
    }

    /** Something else that peers are told with the vector has changed. */
    void touch() {
        version++;
    }

    private OriginLog log(long origin) {
        return logs.computeIfAbsent(origin, unknown -> new OriginLog(0));
    }

    /** The logs, by origin. */
    Map<Long, OriginLog> logs() {
        return logs;
    }

    /** A new increment of this store, on its way to the disk. */
    CounterAdd accept(String counter, String instance, long amount) {
        OriginLog own = log(store);
        own.queue(own.queued() + 1);
        return new CounterAdd(store, own.queued(), counter, instance, amount);
    }

    /** True if the increment is the next of its origin: it is on its way to the disk from now on. */
    boolean queueNext(CounterAdd add) {
        OriginLog log = log(add.origin());
        if (add.sequence() != log.queued() + 1) {
            return false;
        }
        log.queue(add.sequence());
        return true;
    }

    /** An increment that was queued is on disk: it counts. */
    void apply(CounterAdd add) {
        applyNext(add);
    }

    /** Counts the next increment of its origin; one that is held already, or that has a gap before it, is let pass. */
    private void applyNext(CounterAdd add) {
        OriginLog log = log(add.origin());
        if (add.sequence() == log.last() + 1) {
            log.append(add);
            table.apply(add);
            version++;
        }
    }

    /**
     * Takes a peer's totals if it has folded increments that are not held here. What is held here and not folded there is
     * kept. Returns false, with nothing changed, if nothing is lacking, or if increments are folded here that the peer holds one by
     * one: their ids are forgotten here, and the two cannot be told apart.
     */
    boolean install(CounterSnapshot snapshot) {
        boolean lacks =
                snapshot.folded().stream().anyMatch(position -> lastOf(position.origin()) < position.sequence());
        if (!lacks || !foldsAllOf(snapshot)) {
            return false;
        }
        Map<Long, OriginLog> before = new TreeMap<>(logs);
        restore(snapshot);
        before.forEach((origin, log) -> {
            log.after(Math.max(log.folded(), log(origin).folded()), Integer.MAX_VALUE)
                    .forEach(this::applyNext);
            OriginLog kept = log(origin);
            kept.queue(Math.max(kept.last(), log.queued()));
        });
        version++;
        return true;
    }

    private boolean foldsAllOf(CounterSnapshot snapshot) {
        Map<Long, Long> foldedThere = new TreeMap<>();
        snapshot.folded().forEach(position -> foldedThere.put(position.origin(), position.sequence()));
        return logs.entrySet().stream()
                .allMatch(log -> log.getValue().folded() <= foldedThere.getOrDefault(log.getKey(), 0L));
    }

    /** Forgets the ids that all members have held for the retention. Does nothing unless all members are known. */
    void forgetExpired(Set<NodeId> members, Map<NodeId, PeerProgress> peers, long retentionMs, long nowMs) {
        for (NodeId member : members) {
            PeerProgress peer = peers.get(member);
            if (peer == null || !peer.told() || !covers(peer.full())) {
                return;
            }
        }
        logs.forEach((origin, log) -> {
            long heldByAll = members.stream()
                    .mapToLong(member -> peers.get(member).full().getOrDefault(origin, 0L))
                    .reduce(log.last(), Math::min);
            log.retain(heldByAll, nowMs, retentionMs).forEach(table::fold);
        });
    }

    /** The last increment of that origin on this node's disk. */
    long lastOf(long origin) {
        OriginLog log = logs.get(origin);
        return log == null ? 0 : log.last();
    }

    /** True if all increments up to these numbers, by origin, are on this node's disk. */
    boolean covers(Map<Long, Long> vector) {
        return vector.entrySet().stream().allMatch(entry -> lastOf(entry.getKey()) >= entry.getValue());
    }

    /** Where each origin's log ends on this node's disk. */
    List<CounterPosition> positions() {
        List<CounterPosition> positions = new ArrayList<>();
        logs.forEach((origin, log) -> {
            if (log.last() > 0) {
                positions.add(new CounterPosition(origin, log.last()));
            }
        });
        return positions;
    }

    /** Increments that are held here and that a peer has not said to hold. */
    long lackedBy(PeerProgress peer) {
        return logs.entrySet().stream()
                .mapToLong(log -> Math.max(0, log.getValue().last() - peer.known(log.getKey())))
                .sum();
    }

    /** The increment by which an id is counted, empty if the id is not known. */
    Optional<CounterAdd> find(String counter, String instance) {
        return table.find(counter, instance);
    }

    /** True if one more id may be remembered for that counter. */
    boolean hasRoomFor(String counter, CounterSettings settings) {
        return table.instances() < settings.instancesMax()
                && (table.has(counter) || table.counters() < settings.countersMax());
    }

    /** The total of a counter, 0 for one that is not known. */
    BigInteger total(String counter) {
        return table.total(counter);
    }

    /** Totals of all counters, by name. */
    Map<String, BigInteger> totals() {
        return table.totals();
    }

    /** How many ids are remembered. */
    int instances() {
        return table.instances();
    }

    /** How many increments are held one by one. */
    long increments() {
        return logs.values().stream()
                .mapToLong(log -> log.last() - log.folded())
                .sum();
    }
}
