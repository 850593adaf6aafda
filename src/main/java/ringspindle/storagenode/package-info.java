/**
 * The program of a storage node: keeps batch jobs on disk, as replica or leader of shards, runs items of jobs at engines, and answers
 * data nodes. What the parts decide is in {@code batch} and {@code shard}.
 *
 * <p>Owns the replicas and jobs of this node, guarded by {@link ringspindle.storagenode.ShardHost}. May use {@code batch},
 * {@code config}, {@code dataplane}, {@code experiment}, {@code gossip}, {@code loadbalancing}, {@code metrics}, {@code protocol}, {@code proxy},
 * {@code routing}, {@code shard}, {@code storage}, {@code time} and {@code transport}; used by the program.
 */
package ringspindle.storagenode;
