package ringspindle.replication;

import java.util.List;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** The only place where the model checker creates views. */
final class ModelViews {
    private ModelViews() {}

    /** Returns a view with the given voters and chain, whose epoch is one above that of {@code view}. */
    static View next(View view, List<NodeId> voters, List<NodeId> chain) {
        return new View(view.epoch() + 1, List.copyOf(voters), List.copyOf(chain));
    }
}
