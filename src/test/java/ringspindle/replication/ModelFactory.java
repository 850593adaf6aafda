package ringspindle.replication;

import java.util.List;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** Creates the state machines under test, so that a faulty one can be substituted for the real one. */
interface ModelFactory {
    /** Creates the production state machine. */
    ModelFactory REAL = ReplicatedState::create;

    /** Creates a state machine with the parameters of {@link ReplicatedState#create}. */
    ReplicatedState create(
            NodeId self, List<NodeId> seeds, boolean bootstrap, List<Message> records, long randomSeed, int minVoters);
}
