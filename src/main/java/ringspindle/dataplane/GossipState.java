package ringspindle.dataplane;

import ringspindle.gossip.DecodedFacts;
import ringspindle.gossip.FactStore;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.NodeId;

/**
 * What a data node has learnt from others: sessions with peers, and facts.
 *
 * <p>Both are guarded by {@link #lock}, and whoever uses them holds the lock meanwhile; tests run with assertions that check
 * it. Load balancer and proxy are told of new facts, and peers are sent messages, while the lock is held: of two threads
 * that learnt of changes to one thing, the one with the older change must not be the last to apply it, and numbers of
 * heartbeats and reports must rise on a connection. Neither load balancer nor proxy calls back, and sending only queues.
 */
final class GossipState {
    /** Guards everything here, and the parts of a data node that say so. */
    final Object lock = new Object();

    private final SessionTable sessions;
    private final FactStore facts = FactStore.create();
    private final DecodedFacts<DataNodeFact> nodes = new DecodedFacts<>(facts, FactKind.NODE, DataNodeFact::of);

    /**
     * Knows nothing yet.
     *
     * @param startNumber as for {@link SessionTable#forData}
     */
    GossipState(NodeId me, long startNumber) {
        sessions = SessionTable.forData(me, startNumber);
    }

    /** Sessions with peers; the lock is held. */
    SessionTable sessions() {
        assert Thread.holdsLock(lock);
        return sessions;
    }

    /** Data nodes and storage nodes, by their addresses; the lock is held. */
    DecodedFacts<DataNodeFact> nodes() {
        assert Thread.holdsLock(lock);
        return nodes;
    }

    /** Facts; the lock is held. */
    FactStore facts() {
        assert Thread.holdsLock(lock);
        return facts;
    }
}
