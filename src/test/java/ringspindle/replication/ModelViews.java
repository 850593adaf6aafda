package ringspindle.replication;

import java.util.List;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** The one place of the model checker where views are made. */
final class ModelViews {
    private ModelViews() {}

    /** {@code ModelViews.next(view, voters, chain)} has the epoch after the given view's. */
    static View next(View view, List<NodeId> voters, List<NodeId> chain) {
        return new View(view.epoch() + 1, List.copyOf(voters), List.copyOf(chain));
    }
}
