package ringspindle.storagenode;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ShardMessage.ShardEntry;
import ringspindle.protocol.ShardMessage.ShardPromise;
import ringspindle.protocol.ShardMessage.StoreIdentity;
import ringspindle.shard.ShardAssignment;
import ringspindle.shard.ShardReplica;
import ringspindle.storage.SegmentedLog;

/**
 * What a storage node found on its disk.
 *
 * @param identity of the disk, and the number of this start
 * @param found records, oldest first
 */
record StoredState(StoreIdentity identity, List<SegmentedLog.Found> found) {
    /** Reads the disk, and writes down that a process has started on it. */
    static StoredState load(SegmentedLog log, LongSupplier random) throws IOException {
        List<SegmentedLog.Found> found = log.load();
        StoreIdentity last = null;
        for (SegmentedLog.Found each : found) {
            if (each.record() instanceof StoreIdentity identity) {
                last = identity;
            }
        }
        StoreIdentity now = last == null
                ? new StoreIdentity(random.getAsLong(), 1)
                : new StoreIdentity(last.store(), last.boot() + 1);
        List<Message> records = List.of(now);
        if (log.isSegmentFull()) {
            log.startSegment(records);
        } else {
            log.append(records);
        }
        return new StoredState(now, found);
    }

    /** The shards as the records make them. */
    List<HostedShard> host(NodeId me, int copiesMin, long nowMs) {
        List<HostedShard> shards = new ArrayList<>();
        for (int shard = 0; shard < ShardAssignment.SHARDS; shard++) {
            ShardReplica replica = new ShardReplica(shard, me, identity.store(), identity.boot(), copiesMin);
            shards.add(new HostedShard(shard, replica));
        }
        Map<Integer, Long> committed = new HashMap<>();
        for (SegmentedLog.Found each : found) {
            if (each.record() instanceof ShardEntry entry) {
                shards.get(entry.shard()).replica().restore(entry);
                shards.get(entry.shard()).written(entry.seq(), each.segment());
                committed.merge(entry.shard(), entry.committed(), Math::max);
            } else if (each.record() instanceof ShardPromise promise) {
                shards.get(promise.shard()).replica().restore(promise);
                committed.merge(promise.shard(), promise.committed(), Math::max);
            }
        }
        committed.forEach((shard, seq) -> shards.get(shard)
                .replica()
                .restoreCommitted(seq)
                .forEach(entry -> shards.get(shard).committed(entry, nowMs)));
        return shards;
    }
}
