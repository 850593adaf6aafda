package ringspindle.storagenode;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.gossip.FactStore;
import ringspindle.membership.DataNodeFact;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.shard.ShardAssignment;

/** Reads from the facts where shards are placed and which storage nodes are ready. Guarded by the lock of the facts. */
final class PlacementFacts {
    /**
     * What the facts say.
     *
     * @param storageNodes those that are ready
     */
    record Placement(List<ShardAssignment> assignments, Set<NodeId> storageNodes) {}

    /** How often facts had changed that matter here when they were read. */
    private long changesRead;

    /** What the facts say now; empty if that has not changed since the last call. */
    Optional<Placement> readIfChanged(FactStore facts) {
        long changes = facts.changes(FactKind.SHARD) + facts.changes(FactKind.NODE);
        if (changes == changesRead) {
            return Optional.empty();
        }
        changesRead = changes;
        Set<NodeId> storageNodes = new TreeSet<>();
        for (Fact fact : facts.all(FactKind.NODE)) {
            DataNodeFact node = DataNodeFact.of(fact.value());
            if (node.hello().kind() == NodeKind.STORAGE && node.ready()) {
                storageNodes.add(node.hello().node());
            }
        }
        return Optional.of(new Placement(ShardAssignment.readAll(facts.all(FactKind.SHARD)), storageNodes));
    }
}
