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

/** Answers queries about storage nodes from the fleet state of this node. Thread safe and stateless. */
public final class StorageNodes {
    private final NodeContext context;
    private final FleetState fleet;

    StorageNodes(NodeContext context, FleetState fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    /** Returns true if a storage node of that name is known, reachable or not. */
    public boolean isKnown(String name) {
        return hellos(false).stream().anyMatch(hello -> hello.name().equals(name));
    }

    /**
     * Returns true if enough storage nodes would remain without the named one: 2f + 1 reachable nodes that are not
     * retiring, where f is the number of disks that may be lost simultaneously.
     */
    public boolean canRemove(String name) {
        int required = 2 * context.config().lossesBorne() + 1;
        Set<String> remaining = new HashSet<>();
        hellos(true).forEach(hello -> remaining.add(hello.name()));
        remaining.remove(name);
        remaining.removeIf(other -> fleet.read(store -> store.get(FactKind.RETIREMENT, other)) != null);
        return remaining.size() >= required;
    }

    /** Returns true if no shard is assigned to the named node, neither as member nor as learner. */
    public boolean isDrained(String name) {
        Collection<ShardAssignment> assignments = assignments().values();
        return hellos(false).stream().filter(hello -> hello.name().equals(name)).noneMatch(hello -> assignments.stream()
                .anyMatch(each -> each.names(hello.node())));
    }

    /** Returns the storage nodes that are reachable, have reported their disk and are not shutting down. */
    Map<NodeId, StorageNodeStatus> reachable(long nowMs) {
        synchronized (fleet.lock) {
            List<StorageReportFact> reports = fleet.facts().store().all(FactKind.STORAGE).stream()
                    .map(StorageReportFact::read)
                    .toList();
            if (reports.isEmpty()) {
                // most deployments have no storage nodes, so skip reading the sessions of all nodes
                return Map.of();
            }
            Set<String> retiring = new HashSet<>();
            fleet.facts().store().all(FactKind.RETIREMENT).forEach(fact -> retiring.add(fact.key()));
            return StorageNodeTable.join(hellos(true), reports, retiring);
        }
    }

    /** Returns the shard assignments known to this node, by shard. */
    public Map<Integer, ShardAssignment> assignments() {
        Map<Integer, ShardAssignment> assignments = new TreeMap<>();
        fleet.read(store -> ShardAssignment.readAll(store.all(FactKind.SHARD)))
                .forEach(assignment -> assignments.put(assignment.shard(), assignment));
        return assignments;
    }

    /** Returns the condition of each shard; empty if there are neither storage nodes nor assignments. */
    public Map<Integer, ShardCondition> conditions() {
        Map<NodeId, StorageNodeStatus> nodes = reachable(context.nowMs());
        Map<Integer, ShardAssignment> assignments = assignments();
        return nodes.isEmpty() && assignments.isEmpty() ? Map.of() : ShardCondition.ofAll(assignments, nodes);
    }

    private List<Hello> hellos(boolean reachableOnly) {
        List<Hello> hellos = new ArrayList<>();
        synchronized (fleet.lock) {
            Map<DataNodeFact, Boolean> nodes = fleet.dataNodes().all(context.nowMs());
            nodes.forEach((node, current) -> {
                if (node.hello().kind() == NodeKind.STORAGE && (current || !reachableOnly)) {
                    hellos.add(node.hello());
                }
            });
        }
        return hellos;
    }
}
