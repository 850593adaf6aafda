package ringspindle.shard;

import ringspindle.protocol.NodeId;

/**
 * A replica of a shard: a storage node with a certain disk. The same node with another disk is another replica.
 *
 * @param store the identity of the disk
 */
public record ShardMember(NodeId node, long store) {}
