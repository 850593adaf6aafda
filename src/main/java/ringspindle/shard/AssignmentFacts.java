package ringspindle.shard;

import java.util.Collection;
import java.util.List;
import ringspindle.protocol.Message.Fact;

/**
 * The assignments that a node's facts tell, read anew only when one of these facts has changed: facts of other kinds come all the
 * time. Guarded by the owner of the facts.
 */
public final class AssignmentFacts {
    private List<Fact> known = List.of();
    private List<ShardAssignment> assignments = List.of();

    /** The assignments of all shards. An unchanged fact is the same object in every call. */
    public List<ShardAssignment> read(Collection<Fact> facts) {
        if (!known.equals(List.copyOf(facts))) {
            known = List.copyOf(facts);
            assignments = ShardAssignment.readAll(known);
        }
        return assignments;
    }
}
