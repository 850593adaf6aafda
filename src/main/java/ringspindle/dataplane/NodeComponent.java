package ringspindle.dataplane;

import ringspindle.gossip.FactStore;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;

/**
 * A part of a node beside its knowledge of the fleet: told of peers, of the messages of its own families, and of new facts. Called
 * by threads of the pool.
 */
public interface NodeComponent {
    /** A connection to a peer stands. */
    void opened(Hello peer);

    /** A message of batch jobs or shards came. */
    void received(NodeId from, Message message);

    /** The connection to a peer is gone. */
    void closed(NodeId peer);

    /** Facts have changed; the lock that guards them is held, so this must not block, nor take a lock under which it is asked for. */
    void factsChanged(FactStore facts);

    /** Does the periodic work that is due. */
    void tick(long nowMs);
}
