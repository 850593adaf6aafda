package ringspindle.gossip;

import com.google.common.collect.Sets;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectRBTreeMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectSortedMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.NodeId;

/**
 * Facts in one table, each with a stamp that counts what came in; for each peer the stamp up to which it was sent facts.
 * The digest of a range is the exclusive or of its facts' hashes, and so follows each change without a pass over them.
 */
final class VersionedFactStore implements FactStore {
    /** Said anew on every new session, and not the same everywhere: no part of repair. */
    private static final Set<FactKind> NOT_REPAIRED =
            Sets.immutableEnumSet(FactKind.NODE, FactKind.LEASE, FactKind.TURN, FactKind.SILENT);

    private static final long NO_HASH = 0;
    /** Versions that a peer itself sent are kept up to so many; beyond that some go back to it, which does no harm. */
    private static final int KNOWN_MAX = 4096;
    /** An odd constant that spreads the bits of a hash over the ranges, 2^32 divided by the golden ratio. */
    private static final int RANGE_MULTIPLIER = 0x9E3779B9;

    private static final int RANGE_SHIFT = 16;
    private static final long ID_MULTIPLIER = 31;
    private static final long LIFE_MULTIPLIER = 1000003;

    /** A fact of the table. */
    private static final class Entry {
        Fact fact;
        long stamp;
        long hash;
    }

    /** One version of a fact. */
    private record Version(String factId, long life, long version) {
        static Version of(Fact fact) {
            return new Version(id(fact), fact.life(), fact.version());
        }
    }

    /** What a peer has of this table. */
    private static final class PeerState {
        /** All facts up to this stamp were sent. */
        long sentStamp;
        /** Versions that came from the peer itself and have not been passed over yet. */
        final Set<Version> known = new HashSet<>();
    }

    /** The facts of one kind. */
    private static final class KindTable {
        final Long2ObjectSortedMap<Fact> byStamp = new Long2ObjectRBTreeMap<>();
        long changes;
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final Int2ObjectMap<KindTable> kinds = new Int2ObjectOpenHashMap<>();
    private final Long2ObjectSortedMap<Entry> byStamp = new Long2ObjectRBTreeMap<>();
    private final Map<NodeId, PeerState> peers = new HashMap<>();
    private final long[] ranges = new long[RANGES];
    private long lastStamp;

    /** Digests are made of this text: it is the same in every node. */
    private static String id(int kindCode, String key) {
        return kindCode + " " + key;
    }

    private static String id(FactKind kind, String key) {
        return id(kind.code(), key);
    }

    private static String id(Fact fact) {
        return id(fact.kindCode(), fact.key());
    }

    @Override
    public List<Fact> merge(List<Fact> facts) {
        List<Fact> newer = new ArrayList<>();
        for (Fact fact : facts) {
            if (merge(fact)) {
                newer.add(fact);
            }
        }
        return newer;
    }

    private boolean merge(Fact fact) {
        String id = id(fact);
        Entry entry = entries.get(id);
        if (entry == null) {
            entry = new Entry();
            entries.put(id, entry);
        } else if (supersedes(fact, entry.fact)) {
            remove(id, entry);
        } else {
            return false;
        }
        entry.fact = fact;
        entry.hash = hash(id, fact);
        entry.stamp = ++lastStamp;
        ranges[range(id)] ^= entry.hash;
        byStamp.put(entry.stamp, entry);
        KindTable kind = kind(fact.kindCode());
        kind.byStamp.put(entry.stamp, fact);
        kind.changes++;
        return true;
    }

    private static boolean supersedes(Fact fact, Fact held) {
        return fact.life() > held.life() || fact.life() == held.life() && fact.version() > held.version();
    }

    /** Takes the entry out of the digest and the order of stamps. */
    private void remove(String id, Entry entry) {
        ranges[range(id)] ^= entry.hash;
        byStamp.remove(entry.stamp);
        KindTable kind = kind(entry.fact.kindCode());
        kind.byStamp.remove(entry.stamp);
        kind.changes++;
    }

    private KindTable kind(int kindCode) {
        return kinds.computeIfAbsent(kindCode, code -> new KindTable());
    }

    private static int range(String id) {
        return (id.hashCode() * RANGE_MULTIPLIER >>> RANGE_SHIFT) % RANGES;
    }

    private static long hash(String id, Fact fact) {
        if (NOT_REPAIRED.contains(fact.kind())) {
            return NO_HASH;
        }
        return mix(id.hashCode() * ID_MULTIPLIER + fact.life() * LIFE_MULTIPLIER + fact.version());
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    @Override
    public long changes() {
        return lastStamp;
    }

    @Override
    public Fact get(FactKind kind, String key) {
        Entry entry = entries.get(id(kind, key));
        return entry == null ? null : entry.fact;
    }

    @Override
    public long changes(FactKind kind) {
        return kind(kind.code()).changes;
    }

    @Override
    public Collection<Fact> all(FactKind kind) {
        return new ArrayList<>(kind(kind.code()).byStamp.values());
    }

    @Override
    public void forget(FactKind kind, String key) {
        String id = id(kind, key);
        Entry entry = entries.remove(id);
        if (entry != null) {
            // no fact gets this stamp: it only tells that something changed
            lastStamp++;
            remove(id, entry);
        }
    }

    private PeerState peer(NodeId peer) {
        return peers.computeIfAbsent(peer, k -> new PeerState());
    }

    @Override
    public List<Fact> pending(NodeId peer, int limit, Predicate<Fact> useful) {
        PeerState state = peer(peer);
        if (state.sentStamp == lastStamp) {
            return List.of();
        }
        List<Fact> pending = new ArrayList<>();
        for (Entry entry : byStamp.tailMap(state.sentStamp + 1).values()) {
            if (pending.size() >= limit) {
                return pending;
            }
            state.sentStamp = entry.stamp;
            boolean known = state.known.remove(Version.of(entry.fact));
            if (!known && useful.test(entry.fact)) {
                pending.add(entry.fact);
            }
        }
        state.sentStamp = lastStamp;
        return pending;
    }

    @Override
    public void resetPeer(NodeId peer) {
        peers.put(peer, new PeerState());
    }

    @Override
    public void removePeer(NodeId peer) {
        peers.remove(peer);
    }

    @Override
    public void markKnown(NodeId peer, List<Fact> facts) {
        Set<Version> known = peer(peer).known;
        if (known.size() > KNOWN_MAX) {
            known.clear();
        }
        facts.forEach(fact -> known.add(Version.of(fact)));
    }

    @Override
    public long digest() {
        long digest = 0;
        for (long range : ranges) {
            digest = mix(digest + range);
        }
        return digest;
    }

    @Override
    public long[] ranges() {
        return ranges.clone();
    }

    @Override
    public List<Fact> differing(long[] peerRanges) {
        List<Fact> differing = new ArrayList<>();
        for (Entry entry : byStamp.values()) {
            int range = range(id(entry.fact));
            boolean same = range < peerRanges.length && peerRanges[range] == ranges[range];
            if (entry.hash != NO_HASH && !same) {
                differing.add(entry.fact);
            }
        }
        return differing;
    }
}
