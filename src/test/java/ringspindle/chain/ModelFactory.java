package ringspindle.chain;

import java.util.List;
import ringspindle.wire.Msg;
import ringspindle.wire.NodeId;

/** Creates the machines under test, so that a planted fault can take the place of the real one. */
interface ModelFactory {
    /** The machines as they run in production. */
    ModelFactory REAL = Chain::create;

    /** Same parameters as {@link Chain#create}. */
    Chain create(NodeId me, List<NodeId> seeds, boolean bootstrap, List<Msg> found, long luck, int leastVoters);
}
