package ringspindle.shard;

import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ShardMessage.LogEntry;

/** What a {@link ShardReplica} orders, to be carried out in order. */
public sealed interface ReplicaOutput {
    /** Send a message to a node. */
    record Send(NodeId to, Message message) implements ReplicaOutput {}

    /** Write a record to disk; {@link ShardReplica#stored} says that it and all before it last. */
    record Store(Message record, long token) implements ReplicaOutput {}

    /** An entry is committed: it holds for good. */
    record Committed(LogEntry entry) implements ReplicaOutput {}

    /** This replica is the leader from now on, which it was not before. */
    record Appointed(long epoch) implements ReplicaOutput {}

    /** This replica does not lead any more: calls under way are in doubt. */
    record Deposed(long epoch) implements ReplicaOutput {}

    /** All replicas follow this leader still, after the call of {@link ShardReplica#confirm} that drew the token. */
    record Confirmed(long token) implements ReplicaOutput {}
}
