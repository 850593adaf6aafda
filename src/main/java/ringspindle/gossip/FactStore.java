package ringspindle.gossip;

import java.util.Collection;
import java.util.List;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.NodeId;

/** What a node knows: facts by kind and key, the newer (life, version) wins. Pure; not thread safe. */
public interface FactStore {
    /** Ranges of facts that have a digest each. */
    int RANGES = 16;

    /** Takes what is newer; returns just that. {@code book.merge(news.items())}. */
    List<Fact> merge(List<Fact> items);

    /** The fact, null if there is none; {@code book.get(FactKind.CONFIG, "")}. */
    Fact get(FactKind kind, String key);

    /** All facts of a kind; {@code book.all(FactKind.ENGINE)}. */
    Collection<Fact> all(FactKind kind);

    /** Takes a fact out, without trace; {@code book.forget(FactKind.NODE, "10.0.0.1:7721")}. */
    void forget(FactKind kind, String key);

    /** What a peer has not been sent yet, at most so many; marks it as sent. {@code book.pending(peer, 64)}. */
    default List<Fact> pending(NodeId peer, int most) {
        return pending(peer, most, i -> true);
    }

    /** The same, passing over what that peer has no use for. */
    List<Fact> pending(NodeId peer, int most, java.util.function.Predicate<Fact> useful);

    /** Forgets what a peer was sent, so that all goes again; {@code book.reset(peer)} on a new wire. */
    void reset(NodeId peer);

    /** The peer is gone. */
    void drop(NodeId peer);

    /** Notes that the peer itself told us these, so that they need not go back; {@code book.told(peer, items)}. */
    void told(NodeId peer, List<Fact> items);

    /** Digest of all; equal books have equal digests. */
    long digest();

    /** Digests by range. */
    long[] ranges();

    /** All facts in the ranges that differ from those digests; {@code book.differing(digest.ranges())}. */
    List<Fact> differing(long[] theirs);

    /** {@code FactStore.create()} is empty. */
    static FactStore create() {
        return new VersionedFactStore();
    }
}
