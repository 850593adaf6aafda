package ringspindle.gossip;

import com.google.common.math.IntMath;
import java.util.HashMap;
import java.util.Map;
import ringspindle.protocol.NodeId;

/**
 * Decides when two nodes compare what they know. Digests that differ once are common while a change spreads. Digests that
 * both stay as they are and differ show that something was lost on the way: the next heartbeat that says so triggers the
 * repair. If that does not make them equal, it is tried again ever more rarely. Not thread safe.
 */
public final class RepairTrigger {
    /** Heartbeats in a row with the same two digests before the nodes compare. */
    static final int STABLE_HEARTBEATS = 2;
    /** While digests differ for long, whether they change or not, the nodes compare every so many heartbeats. */
    static final int RETRY_HEARTBEATS = 16;

    /** Two digests that differ, and for how many heartbeats these two, or any two, have. */
    private record Difference(long own, long peers, int stable, int differing) {
        Difference next(long newOwn, long newPeers) {
            boolean same = own == newOwn && peers == newPeers;
            return new Difference(newOwn, newPeers, same ? stable + 1 : 1, differing + 1);
        }

        boolean isDue() {
            boolean backoffOver =
                    stable >= STABLE_HEARTBEATS && stable <= RETRY_HEARTBEATS && IntMath.isPowerOfTwo(stable);
            return backoffOver || differing % RETRY_HEARTBEATS == 0;
        }
    }

    private final Map<NodeId, Difference> differences = new HashMap<>();

    /**
     * A heartbeat of a peer came.
     *
     * @param ownDigest {@link FactStore#digest} of this node
     * @param peerDigest the digest that the heartbeat carries
     * @return true if the peer is to be asked to compare now
     */
    public boolean onHeartbeat(NodeId peer, long ownDigest, long peerDigest) {
        if (ownDigest == peerDigest) {
            differences.remove(peer);
            return false;
        }
        Difference before = differences.getOrDefault(peer, new Difference(ownDigest, peerDigest, 0, 0));
        Difference now = before.next(ownDigest, peerDigest);
        differences.put(peer, now);
        return now.isDue();
    }

    /** The session with a peer is gone, or new. */
    public void forget(NodeId peer) {
        differences.remove(peer);
    }
}
