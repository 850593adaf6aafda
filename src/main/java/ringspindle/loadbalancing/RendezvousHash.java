package ringspindle.loadbalancing;

/** Rendezvous hashing: which engine holds a shared prefix, the same on every node. The lowest rank holds it. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Rank of an engine for a shared prefix, 0 or more.
     *
     * @param engineKey key of the engine as load summaries have it
     * @param affinityKey hash of the shared prefix
     */
    public static long rank(long engineKey, long affinityKey) {
        return mix(engineKey ^ affinityKey);
    }

    /** Finalizer of SplitMix64, without its sign bit. */
    static long mix(long bits) {
        long mixed = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return (mixed ^ mixed >>> 31) & Long.MAX_VALUE;
    }
}
