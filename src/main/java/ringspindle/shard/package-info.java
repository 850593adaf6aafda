/**
 * Shards of batch jobs: which storage nodes hold one, its replicated log, and who is assigned what. A shard has one leader at a
 * time, under an epoch that the control state hands out; an entry is committed once every replica of the epoch has it on disk.
 *
 * <p>State machines: time, messages and completed writes come in as calls. May use {@code protocol}; used by
 * {@code replication}, {@code controlplane}, {@code dataplane} and {@code storagenode}.
 */
package ringspindle.shard;
