package ringspindle.replication;

import java.util.List;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** Creates the machines under test, so that a planted fault can take the place of the real one. */
interface ModelFactory {
    /** The machines as they run in production. */
    ModelFactory REAL = ReplicatedState::create;

    /** Same parameters as {@link ReplicatedState#create}. */
    ReplicatedState create(
            NodeId self, List<NodeId> seeds, boolean bootstrap, List<Message> records, long randomSeed, int minVoters);
}
