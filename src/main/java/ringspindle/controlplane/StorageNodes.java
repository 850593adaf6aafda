package ringspindle.controlplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.membership.DataNodeFact;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.shard.ShardAssignment;
import ringspindle.shard.ShardCondition;
import ringspindle.shard.StorageNodeStatus;
import ringspindle.shard.StorageNodeTable;
import ringspindle.shard.StorageReportFact;

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
    public boolean canRemove(String name) {
        int needed = 2 * context.config().lossesBorne() + 1;
        Set<String> left = new HashSet<>();
        greetings(true).forEach(hello -> left.add(hello.name()));
        left.remove(name);
        left.removeIf(other -> fleet.read(store -> store.get(FactKind.RETIREMENT, other)) != null);
        return left.size() >= needed;
    }

    /** True if no shard is assigned to that node, as member or learner. */
    public boolean isDrained(String name) {
        Collection<ShardAssignment> assignments = assignments().values();
        return greetings(false).stream()
                .filter(hello -> hello.name().equals(name))
                .noneMatch(hello -> assignments.stream().anyMatch(each -> each.names(hello.node())));
    }

    /** Storage nodes that are in touch, have said which disk they have, and do not shut down. */
    Map<NodeId, StorageNodeStatus> inTouch(long nowMs) {
        synchronized (fleet.lock) {
            List<StorageReportFact> reports = fleet.facts().store().all(FactKind.STORAGE).stream()
                    .map(StorageReportFact::read)
                    .toList();
            if (reports.isEmpty()) {
                // most deployments have none, and the sessions of all nodes need not be read
                return Map.of();
            }
            Set<String> retiring = new HashSet<>();
            fleet.facts().store().all(FactKind.RETIREMENT).forEach(fact -> retiring.add(fact.key()));
            return StorageNodeTable.join(greetings(true), reports, retiring);
        }
    }

    /** The assignments of shards as they are known here, by shard. */
    public Map<Integer, ShardAssignment> assignments() {
        Map<Integer, ShardAssignment> assignments = new TreeMap<>();
        fleet.read(store -> ShardAssignment.readAll(store.all(FactKind.SHARD)))
                .forEach(assignment -> assignments.put(assignment.shard(), assignment));
        return assignments;
    }

    /** Whether each shard has a leader, by shard; empty where there are neither storage nodes nor assignments. */
    public Map<Integer, ShardCondition> conditions() {
        Map<NodeId, StorageNodeStatus> nodes = inTouch(context.nowMs());
        Map<Integer, ShardAssignment> assignments = assignments();
        return nodes.isEmpty() && assignments.isEmpty() ? Map.of() : ShardCondition.ofAll(assignments, nodes);
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
