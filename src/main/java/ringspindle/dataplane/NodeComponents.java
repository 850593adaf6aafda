package ringspindle.dataplane;

import java.util.List;
import ringspindle.gossip.FactStore;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;

/**
 * Several parts of a node as one; each passes over messages that are not its own.
 *
 * @param parts told of everything in this order
 */
record NodeComponents(List<NodeComponent> parts) implements NodeComponent {
    @Override
    public void opened(Hello peer) {
        parts.forEach(part -> part.opened(peer));
    }

    @Override
    public void received(NodeId from, Message message) {
        parts.forEach(part -> part.received(from, message));
    }

    @Override
    public void closed(NodeId peer) {
        parts.forEach(part -> part.closed(peer));
    }

    @Override
    public void factsChanged(FactStore facts) {
        parts.forEach(part -> part.factsChanged(facts));
    }

    @Override
    public void tick(long nowMs) {
        parts.forEach(part -> part.tick(nowMs));
    }
}
