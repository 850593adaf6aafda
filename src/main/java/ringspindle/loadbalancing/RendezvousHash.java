package ringspindle.loadbalancing;

/** Which engine holds what: the lowest rank, the same on every node. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** The rank of an engine for what is shared; {@code RendezvousHash.rank(LoadSummary.key("i-1"), key)}. */
    public static long rank(long engine, long affinity) {
        return mix(engine ^ affinity);
    }

    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return (z ^ z >>> 31) & Long.MAX_VALUE;
    }
}
