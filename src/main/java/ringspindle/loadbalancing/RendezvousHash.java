package ringspindle.loadbalancing;

/**
 * Rendezvous hashing of shared prefixes to engines, equal on all nodes: the engine of the lowest rank has the prefix.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the rank of an engine for a shared prefix, which is not negative.
     *
     * @param engineKey key of the engine, as in load summaries
     * @param affinityKey hash of the shared prefix
     */
    public static long rank(long engineKey, long affinityKey) {
        return mix(engineKey ^ affinityKey);
    }

    /** SplitMix64 finalizer with the sign bit cleared. */
    static long mix(long bits) {
        long mixed = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return (mixed ^ mixed >>> 31) & Long.MAX_VALUE;
    }
}
