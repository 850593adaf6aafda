package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.membership.DataNodeFact;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeKind;
import ringspindle.shard.ShardAssignment;

/** Questions about storage nodes, answered from what this node knows of the fleet. Thread safe; without state of its own. */
public final class StorageNodes {
    private final NodeContext context;
    private final FleetState fleet;

    StorageNodes(NodeContext context, FleetState fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    /** True if a storage node of that name was ever heard of. */
    public boolean isKnown(String name) {
        return greetings(false).stream().anyMatch(hello -> hello.name().equals(name));
    }

    /** True if enough would be left to hold every shard as often as it takes, and one disk more lost than may be. */
    public boolean mayLose(String name) {
        int needed = 2 * context.config().lossesBorne() + 1;
        Set<String> left = new HashSet<>();
        greetings(true).forEach(hello -> left.add(hello.name()));
        left.remove(name);
        left.removeIf(other -> fleet.read(store -> store.get(FactKind.RETIREMENT, other)) != null);
        return left.size() >= needed;
    }

    /** True if no shard is assigned to that node, as member or learner. */
    public boolean isEmptied(String name) {
        List<ShardAssignment> assignments = fleet.read(store -> ShardAssignment.readAll(store.all(FactKind.SHARD)));
        return greetings(false).stream()
                .filter(hello -> hello.name().equals(name))
                .noneMatch(hello -> assignments.stream().anyMatch(each -> each.names(hello.node())));
    }

    private List<Hello> greetings(boolean inTouch) {
        List<Hello> greetings = new ArrayList<>();
        synchronized (fleet.lock) {
            Map<DataNodeFact, Boolean> nodes = fleet.dataNodes().all(context.nowMs());
            nodes.forEach((node, holds) -> {
                if (node.hello().kind() == NodeKind.STORAGE && (holds || !inTouch)) {
                    greetings.add(node.hello());
                }
            });
        }
        return greetings;
    }
}
