package ringspindle.counter;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.api.Outcome;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.CounterAdd;
import ringspindle.protocol.Message.CounterAdds;
import ringspindle.protocol.Message.CounterSnapshot;
import ringspindle.protocol.Message.CounterVector;
import ringspindle.protocol.NodeId;

/**
 * The counters of one node: a state machine without clock, socket, disk or chance. Its owner tells it what happens, one input
 * at a time, and carries out the outputs in their order. Times are milliseconds of the node's monotonic clock.
 *
 * <p>An increment is written to disk first, then sent to all peers in touch, and confirmed to its caller once as many
 * disks hold it as may be lost and one more. While a partition leaves fewer peers than that, it is confirmed with those that
 * there are. What peers lack is found by comparing vectors: for each store the number of its last increment.
 *
 * <p>{@code replica.add(7, "t3", "5c0e", 4, nowMs)} leads to a {@link Out.Store}; {@code replica.stored(token, nowMs)} to
 * messages, and what peers answer to {@code Answer(7, TAKEN)}.
 */
public final class CounterReplica {
    /** A peer is told what this node holds at most once in so many milliseconds. */
    static final int VECTOR_MS = 1000;
    /** What a peer does not hold so long after it was sent is sent again. */
    static final int RESEND_MS = 1000;
    /** A partition is waited out no longer by a call whose increment is on the own disk. */
    static final int ISOLATED_WAIT_MS = 300;
    /** Callers go on to another node after a second of silence. */
    static final int CALL_TIMEOUT_MS = 900;

    /** How often expired ids are looked for while one expires. */
    private static final int RETENTION_CHECKS = 8;

    /** What the owner is to do. */
    public sealed interface Out {
        /** Send the message to the node. */
        record Send(NodeId to, Message message) implements Out {}

        /**
         * Write and sync the records in order, then call {@link CounterReplica#stored}.
         *
         * @param snapshot true if the records take the place of all that was written before
         */
        record Store(long token, List<Message> records, boolean snapshot) implements Out {}

        /** The outcome of a call that came in at this node. */
        record Answer(long call, Outcome outcome) implements Out {}
    }

    private final NodeId me;
    private final CounterSettings settings;
    private final CounterState state;
    private final WriteQueue writes = new WriteQueue();
    private final Map<NodeId, PeerProgress> peers = new TreeMap<>();
    private final UnconfirmedAdds unconfirmed = new UnconfirmedAdds();
    private final PartitionDetector partition;
    private final AntiEntropy antiEntropy;
    private final JoinProgress join;
    private Set<NodeId> inTouch = Set.of();
    private boolean leaving;
    private long nextRetentionMs;

    /**
     * Reads what was found on disk.
     *
     * @param found the records found, oldest first
     * @param newStore the number of this node's store if none was found; no other store may have it, and it is not 0
     */
    public CounterReplica(NodeId me, CounterSettings settings, List<Message> found, long newStore, long nowMs) {
        this.me = me;
        this.settings = settings;
        state = CounterState.load(found, newStore);
        partition = new PartitionDetector(settings.copies() - 1, nowMs);
        join = new JoinProgress(settings.bootstrap() && found.isEmpty(), !found.isEmpty(), nowMs);
        antiEntropy = new AntiEntropy(state, peers, join, nowMs);
    }

    /** The first writes: comes before all other inputs. */
    public List<Out> open(long nowMs) {
        return List.of(snapshot(nowMs));
    }

    private Out.Store snapshot(long nowMs) {
        long token = writes.add(List.of(), null, nowMs);
        return new Out.Store(token, durable(), true);
    }

    /** All that must not be forgotten, for a snapshot on disk; holds what is still on its way to the disk. */
    public List<Message> durable() {
        return state.records(writes.adds());
    }

    // ---- calls

    /** A call to add to a counter came in; its outcome comes as {@link Out.Answer}. */
    public List<Out> add(long call, String counter, String instance, long amount, long nowMs) {
        if (leaving || !join.joined() || writes.stalled(nowMs)) {
            return answer(call, Outcome.UNCLEAR);
        }
        Optional<CounterAdd> known = state.find(counter, instance).or(() -> writes.find(counter, instance));
        if (known.isPresent()) {
            return repeated(call, known.get(), amount, nowMs);
        }
        if (!state.hasRoomFor(counter, settings)) {
            return answer(call, Outcome.STORE_FULL);
        }
        CounterAdd add = state.accept(counter, instance, amount);
        unconfirmed.add(new UnconfirmedAdds.Waiting(call, add.origin(), add.sequence(), nowMs));
        return List.of(write(List.of(add), null, nowMs));
    }

    private static List<Out> answer(long call, Outcome outcome) {
        return List.of(new Out.Answer(call, outcome));
    }

    private Out.Store write(List<CounterAdd> adds, NodeId from, long nowMs) {
        return new Out.Store(writes.add(adds, from, nowMs), List.of(new CounterAdds(adds)), false);
    }

    /** The id is known: the call waits for the same copies, and peers that may lack them are asked by sending it again. */
    private List<Out> repeated(long call, CounterAdd add, long amount, long nowMs) {
        if (add.amount() != amount) {
            return answer(call, Outcome.CLASH);
        }
        unconfirmed.add(new UnconfirmedAdds.Waiting(call, add.origin(), add.sequence(), nowMs));
        List<Out> outputs = new ArrayList<>();
        if (state.lastOf(add.origin()) >= add.sequence()) {
            peers.forEach((node, peer) -> {
                if (peer.told() && peer.known(add.origin()) < add.sequence()) {
                    outputs.add(new Out.Send(node, new CounterAdds(List.of(add))));
                }
            });
        }
        outputs.addAll(confirm(nowMs));
        return outputs;
    }

    private List<Out> confirm(long nowMs) {
        return unconfirmed.answer(call -> outcome(call, nowMs));
    }

    private Optional<Outcome> outcome(UnconfirmedAdds.Waiting call, long nowMs) {
        boolean held = state.lastOf(call.origin()) >= call.sequence();
        long waitedMs = nowMs - call.sinceMs();
        if (held && enoughCopies(call, waitedMs, nowMs)) {
            return Optional.of(Outcome.TAKEN);
        }
        return waitedMs >= CALL_TIMEOUT_MS ? Optional.of(Outcome.UNCONFIRMED) : Optional.empty();
    }

    private boolean enoughCopies(UnconfirmedAdds.Waiting call, long waitedMs, long nowMs) {
        long copies = 1
                + peers.values().stream()
                        .filter(peer -> peer.introduced() && peer.known(call.origin()) >= call.sequence())
                        .count();
        if (copies >= settings.copies()) {
            return true;
        }
        return partition.isolated(nowMs) && (copies > inTouch.size() || waitedMs >= ISOLATED_WAIT_MS);
    }

    // ---- what comes from disk, peers and time

    /** The records of that token are synced. */
    public List<Out> stored(long token, long nowMs) {
        WriteQueue.Write write = writes.remove(token);
        if (write == null || write.adds().isEmpty()) {
            return List.of();
        }
        write.adds().forEach(state::apply);
        List<Out> outputs = new ArrayList<>();
        if (write.from() == null) {
            outputs.addAll(antiEntropy.pushNew(write.adds(), nowMs));
        } else if (peers.containsKey(write.from())) {
            outputs.add(antiEntropy.acknowledgement(write.from(), write.adds()));
        }
        outputs.addAll(confirm(nowMs));
        return outputs;
    }

    /** A new connection to that node stands; what was sent on an older one may be lost. */
    public void connected(NodeId peer) {
        peers.computeIfAbsent(peer, node -> new PeerProgress()).reset();
    }

    /** The peer says, over the connection that stands, that it takes messages about counters. */
    public List<Out> introduced(NodeId peer, long nowMs) {
        PeerProgress progress = peers.computeIfAbsent(peer, node -> new PeerProgress());
        if (progress.introduced()) {
            return List.of();
        }
        progress.introduce(nowMs);
        return List.of(antiEntropy.vector(peer, progress, nowMs));
    }

    /** A message about counters came; others are let pass. */
    public List<Out> receive(NodeId from, Message message, long nowMs) {
        PeerProgress peer = peers.get(from);
        if (peer == null) {
            return List.of();
        }
        List<Out> outputs = new ArrayList<>();
        if (message instanceof CounterAdds adds) {
            outputs.addAll(receiveAdds(from, peer, adds.items(), nowMs));
        } else if (message instanceof CounterSnapshot snapshot && state.install(snapshot)) {
            outputs.add(snapshot(nowMs));
        } else if (message instanceof CounterVector vector && peer.receive(vector, nowMs) && vector.full()) {
            outputs.addAll(antiEntropy.sendOwn(from, peer, nowMs));
        }
        outputs.addAll(confirm(nowMs));
        return outputs;
    }

    private List<Out> receiveAdds(NodeId from, PeerProgress peer, List<CounterAdd> adds, long nowMs) {
        if (writes.full()) {
            return List.of();
        }
        List<CounterAdd> fresh = new ArrayList<>();
        for (CounterAdd add : adds) {
            peer.holds(add.origin(), add.sequence());
            if (state.queueNext(add)) {
                fresh.add(add);
            }
        }
        return List.of(
                fresh.isEmpty() ? antiEntropy.acknowledgement(from, adds) : write(List.copyOf(fresh), from, nowMs));
    }

    /**
     * Time went on; called several times a second.
     *
     * @param linked control nodes in touch
     * @param members control nodes that vote, in touch or not; empty if they are not known
     */
    public List<Out> tick(Set<NodeId> linked, Set<NodeId> members, long nowMs) {
        inTouch = Set.copyOf(linked);
        partition.update(linked.size(), nowMs);
        if (join.update(linked, peers, state, nowMs)) {
            state.touch();
        }
        List<Out> outputs = new ArrayList<>(confirm(nowMs));
        outputs.addAll(antiEntropy.tick(linked, nowMs));
        forgetExpired(members, nowMs);
        return outputs;
    }

    private void forgetExpired(Set<NodeId> members, long nowMs) {
        if (members.isEmpty() || nowMs < nextRetentionMs) {
            return;
        }
        nextRetentionMs = nowMs + settings.retentionMs() / RETENTION_CHECKS;
        Set<NodeId> others = new TreeSet<>(members);
        others.remove(me);
        peers.forEach((node, peer) -> {
            if (peer.counts(nowMs)) {
                others.add(node);
            }
        });
        state.forgetExpired(others, peers, settings.retentionMs(), nowMs);
    }

    /** This node ends soon: it takes nothing new. */
    public void leave() {
        leaving = true;
    }

    // ---- what it holds

    /** The total of a counter, 0 for a new name; empty while this node cannot tell. */
    public Optional<BigInteger> total(String counter) {
        return join.joined() ? Optional.of(state.total(counter)) : Optional.empty();
    }

    /** Totals of all counters as this node knows them. */
    public Map<String, BigInteger> totals() {
        return state.totals();
    }

    /** How this node's counters are. */
    public CounterStatus status(long nowMs) {
        List<CounterStatus.Peer> rows = new ArrayList<>();
        peers.forEach(
                (node, peer) -> rows.add(new CounterStatus.Peer(node, inTouch.contains(node), state.lackedBy(peer))));
        return new CounterStatus(
                join.joined(),
                partition.isolated(nowMs),
                state.instances(),
                unconfirmed.size(),
                state.increments(),
                rows);
    }
}
