package ringspindle.gossip;

import com.google.common.collect.Sets;
import it.unimi.dsi.fastutil.longs.Long2ObjectRBTreeMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectSortedMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.NodeId;

/** Facts in one table, in the order in which they came in; each peer has a mark up to which it was told. */
final class VersionedFactStore implements FactStore {
    private static final Set<FactKind> NOT_REPAIRED =
            Sets.immutableEnumSet(FactKind.NODE, FactKind.LEASE, FactKind.TURN, FactKind.SILENT);

    private static final class Row {
        Fact item;
        long stamp;
        long hash;
    }

    private final Map<String, Row> rows = new HashMap<>();
    private final Long2ObjectSortedMap<Row> byStamp = new Long2ObjectRBTreeMap<>();
    private final Map<NodeId, long[]> marks = new HashMap<>();
    private final Map<NodeId, Set<String>> known = new HashMap<>();
    private final long[] ranges = new long[RANGES];
    private long stamp;

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
    public List<Fact> merge(List<Fact> items) {
        List<Fact> fresh = new ArrayList<>();
        for (Fact i : items) {
            String id = id(i);
            Row r = rows.get(id);
            if (r != null
                    && (r.item.life() > i.life() || r.item.life() == i.life() && r.item.version() >= i.version())) {
                continue;
            }
            if (r == null) {
                r = new Row();
                rows.put(id, r);
            } else {
                ranges[range(id)] ^= r.hash;
                byStamp.remove(r.stamp);
            }
            r.item = i;
            r.hash = hash(id, i);
            r.stamp = ++stamp;
            ranges[range(id)] ^= r.hash;
            byStamp.put(r.stamp, r);
            fresh.add(i);
        }
        return fresh;
    }

    private static int range(String id) {
        return (id.hashCode() * 0x9E3779B9 >>> 16) % RANGES;
    }

    private static long hash(String id, Fact i) {
        if (NOT_REPAIRED.contains(i.kind())) {
            // told anew on every new session, and not the same everywhere: no part of repair
            return 0;
        }
        return mix(id.hashCode() * 31L + i.life() * 1000003L + i.version());
    }

    private static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    @Override
    public Fact get(FactKind kind, String key) {
        Row r = rows.get(id(kind, key));
        return r == null ? null : r.item;
    }

    @Override
    public Collection<Fact> all(FactKind kind) {
        List<Fact> out = new ArrayList<>();
        for (Row r : byStamp.values()) {
            if (r.item.kindCode() == kind.code()) {
                out.add(r.item);
            }
        }
        return out;
    }

    @Override
    public void forget(FactKind kind, String key) {
        String id = id(kind, key);
        Row r = rows.remove(id);
        if (r != null) {
            ranges[range(id)] ^= r.hash;
            byStamp.remove(r.stamp);
        }
    }

    @Override
    public List<Fact> pending(NodeId peer, int most, java.util.function.Predicate<Fact> useful) {
        long[] mark = marks.computeIfAbsent(peer, k -> new long[1]);
        Set<String> has = known.computeIfAbsent(peer, k -> new HashSet<>());
        List<Fact> out = new ArrayList<>();
        for (Row r : byStamp.tailMap(mark[0] + 1).values()) {
            if (out.size() >= most) {
                return out;
            }
            mark[0] = r.stamp;
            if (!has.remove(id(r.item) + "@" + r.item.life() + "." + r.item.version()) && useful.test(r.item)) {
                out.add(r.item);
            }
        }
        return out;
    }

    @Override
    public void reset(NodeId peer) {
        marks.put(peer, new long[1]);
        known.put(peer, new HashSet<>());
    }

    @Override
    public void drop(NodeId peer) {
        marks.remove(peer);
        known.remove(peer);
    }

    @Override
    public void told(NodeId peer, List<Fact> items) {
        Set<String> has = known.computeIfAbsent(peer, k -> new HashSet<>());
        if (has.size() > 4096) {
            has.clear();
        }
        for (Fact i : items) {
            has.add(id(i) + "@" + i.life() + "." + i.version());
        }
    }

    @Override
    public long digest() {
        long d = 0;
        for (long r : ranges) {
            d = mix(d + r);
        }
        return d;
    }

    @Override
    public long[] ranges() {
        return ranges.clone();
    }

    @Override
    public List<Fact> differing(long[] theirs) {
        List<Fact> out = new ArrayList<>();
        for (Row r : byStamp.values()) {
            int n = range(id(r.item));
            if (r.hash != 0 && (n >= theirs.length || theirs[n] != ranges[n])) {
                out.add(r.item);
            }
        }
        return out;
    }
}
