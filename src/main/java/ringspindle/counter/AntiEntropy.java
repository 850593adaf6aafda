package ringspindle.counter;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import ringspindle.counter.CounterReplica.Out;
import ringspindle.protocol.Message.CounterAdd;
import ringspindle.protocol.Message.CounterAdds;
import ringspindle.protocol.Message.CounterPosition;
import ringspindle.protocol.Message.CounterVector;
import ringspindle.protocol.NodeId;

/**
 * Sends peers what they lack. The store that accepted an increment sends it to everyone. Another node sends it on if that
 * store is not in touch here, or to a peer that has lacked it for a while, as the store may be cut off from there.
 */
final class AntiEntropy {
    /** Increments held for so long are no longer on their way to others; longer than peers take to tell what they hold. */
    private static final int AGE_MS = 1500;
    /** A peer whose connection is so young may still be sent what it lacks by the stores that accepted it. */
    private static final int RELAY_AFTER_MS = 1500;
    /** Increments sent at once to a peer that lacks many; the next follow with the next tick. */
    private static final int BURST_MAX = 8 * CounterState.BATCH_MAX;

    private final CounterState state;
    private final Map<NodeId, PeerProgress> peers;
    private final JoinProgress join;
    private long markedMs;

    AntiEntropy(CounterState state, Map<NodeId, PeerProgress> peers, JoinProgress join, long nowMs) {
        this.state = state;
        this.peers = peers;
        this.join = join;
        markedMs = nowMs;
    }

    /** Sends what was just accepted here to the peers that hold all before it. */
    List<Out> pushNew(List<CounterAdd> adds, long nowMs) {
        List<Out> outputs = new ArrayList<>();
        long first = adds.get(0).sequence();
        long last = adds.get(adds.size() - 1).sequence();
        peers.forEach((node, peer) -> {
            if (peer.told() && peer.sent(state.store()) == first - 1) {
                peer.send(state.store(), last, nowMs);
                outputs.add(new Out.Send(node, new CounterAdds(adds)));
            }
        });
        return outputs;
    }

    /** Tells the sender of increments how far this node holds them on disk. */
    Out acknowledgement(NodeId to, List<CounterAdd> adds) {
        Set<Long> origins = adds.stream().map(CounterAdd::origin).collect(Collectors.toCollection(TreeSet::new));
        List<CounterPosition> positions = origins.stream()
                .map(origin -> new CounterPosition(origin, state.lastOf(origin)))
                .toList();
        return new Out.Send(to, new CounterVector(state.store(), false, join.joined(), positions));
    }

    /** Tells a peer all that this node holds. */
    Out vector(NodeId to, PeerProgress peer, long nowMs) {
        peer.vectorSent(state.version(), nowMs);
        return new Out.Send(to, new CounterVector(state.store(), true, join.joined(), state.positions()));
    }

    /** Sends a peer what this store accepted and the peer lacks, or the totals if the ids are forgotten. */
    List<Out> sendOwn(NodeId to, PeerProgress peer, long nowMs) {
        if (lacksFolded(peer)) {
            return sendAll(to, peer, nowMs);
        }
        return send(to, peer, state.store(), state.lastOf(state.store()), nowMs);
    }

    private boolean lacksFolded(PeerProgress peer) {
        return state.logs().entrySet().stream()
                .anyMatch(log -> peer.sent(log.getKey()) < log.getValue().folded());
    }

    private List<Out> sendAll(NodeId to, PeerProgress peer, long nowMs) {
        List<Out> outputs = new ArrayList<>();
        outputs.add(new Out.Send(to, state.foldedPart()));
        state.logs().forEach((origin, log) -> {
            peer.send(origin, log.folded(), nowMs);
            outputs.addAll(send(to, peer, origin, log.last(), nowMs));
        });
        return outputs;
    }

    private List<Out> send(NodeId to, PeerProgress peer, long origin, long upTo, long nowMs) {
        OriginLog log = state.logs().get(origin);
        long from = peer.sent(origin);
        List<CounterAdd> missing = log.after(from, (int) Math.min(BURST_MAX, Math.max(0, upTo - from)));
        if (missing.isEmpty()) {
            return List.of();
        }
        peer.send(origin, missing.get(missing.size() - 1).sequence(), nowMs);
        return CounterState.batches(missing).stream()
                .<Out>map(batch -> new Out.Send(to, batch))
                .toList();
    }

    /** Tells peers what this node holds if that has changed, and sends on what they have lacked for a while. */
    List<Out> tick(Set<NodeId> linked, long nowMs) {
        if (nowMs - markedMs >= AGE_MS) {
            markedMs = nowMs;
            state.logs().values().forEach(OriginLog::markAge);
        }
        Set<Long> reachable = storesOf(linked);
        List<Out> outputs = new ArrayList<>();
        peers.forEach((node, peer) -> {
            if (!peer.introduced() || !linked.contains(node)) {
                return;
            }
            if (peer.vectorDue(state.version(), nowMs)) {
                outputs.add(vector(node, peer, nowMs));
            }
            if (peer.told()) {
                outputs.addAll(sendOwn(node, peer, nowMs));
                outputs.addAll(relay(node, peer, reachable, nowMs));
            }
        });
        return outputs;
    }

    /** Stores of this node's peers in touch: they send by themselves what they accepted. */
    private Set<Long> storesOf(Set<NodeId> linked) {
        Set<Long> stores = new TreeSet<>();
        peers.forEach((node, peer) -> {
            if (linked.contains(node)) {
                stores.add(peer.store());
            }
        });
        return stores;
    }

    private List<Out> relay(NodeId to, PeerProgress peer, Set<Long> reachable, long nowMs) {
        boolean young = peer.introducedForMs(nowMs) < RELAY_AFTER_MS;
        List<Out> outputs = new ArrayList<>();
        state.logs().forEach((origin, log) -> {
            boolean own = origin == state.store();
            boolean sentByOthers = reachable.contains(origin);
            if (!own && !(young && sentByOthers)) {
                outputs.addAll(send(to, peer, origin, sentByOthers ? log.aged() : log.last(), nowMs));
            }
        });
        return outputs;
    }
}
