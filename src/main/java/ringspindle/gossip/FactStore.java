package ringspindle.gossip;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.NodeId;

/**
 * What a node knows of the fleet: facts by kind and key, of which the newer (life, version) wins, and what each peer has
 * been sent of them. A state machine without clock and socket; not thread safe.
 */
public interface FactStore {
    /** Ranges of facts that have a digest each. */
    int RANGES = 16;

    /** Takes the facts that are newer than those held, and returns just these; {@code store.merge(news.items())}. */
    List<Fact> merge(List<Fact> facts);

    /** Changes whenever a fact is taken or forgotten: what was computed from the facts holds as long as this is the same. */
    long changes();

    /** The same for facts of one kind alone. */
    long changes(FactKind kind);

    /** The fact, null if there is none; {@code store.get(FactKind.CONFIG, "")}. */
    Fact get(FactKind kind, String key);

    /** All facts of a kind, in the order in which they came in; {@code store.all(FactKind.ENGINE)}. */
    Collection<Fact> all(FactKind kind);

    /** Removes a fact without trace: an older one would be taken again; {@code store.forget(FactKind.NODE, "10.0.0.1:7721")}. */
    void forget(FactKind kind, String key);

    /** What a peer has not been sent yet, at most so many; counts as sent from then on. {@code store.pending(peer, 64)}. */
    default List<Fact> pending(NodeId peer, int limit) {
        return pending(peer, limit, fact -> true);
    }

    /** The same, passing over facts that the peer has no use for; these count as sent too. */
    List<Fact> pending(NodeId peer, int limit, Predicate<Fact> useful);

    /** Forgets what a peer was sent, so that all is pending again; for a new connection. */
    void resetPeer(NodeId peer);

    /** Forgets a peer that is gone. */
    void removePeer(NodeId peer);

    /** Notes that the peer itself sent these facts, so that they need not go back to it. */
    void markKnown(NodeId peer, List<Fact> facts);

    /** Digest of all facts that are repaired; stores with the same of these have equal digests. */
    long digest();

    /** Digests by range, {@link #RANGES} of them. */
    long[] ranges();

    /** All facts in the ranges whose digest differs from the peer's; {@code store.differing(digest.ranges())}. */
    List<Fact> differing(long[] peerRanges);

    /** An empty store. */
    static FactStore create() {
        return new VersionedFactStore();
    }
}
