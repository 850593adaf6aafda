package ringspindle.storagenode;

import java.util.List;

/**
 * The state of a storage node in numbers.
 *
 * @param shardsLed shards that it leads and takes calls for
 * @param jobsOpen jobs of these that are not over
 * @param itemsWaiting items of these without a result, running ones among them
 * @param itemsRunning items that it has run, here or at other nodes
 * @param diskBytes size of its log on disk
 * @param logBytes records of all its replicas in memory
 */
record StorageFigures(int shardsLed, int jobsOpen, long itemsWaiting, int itemsRunning, long diskBytes, long logBytes) {
    /** The figures of a node with these shards, led or not; the lock of their owner is held. */
    static StorageFigures of(List<HostedShard> shards, int itemsRunning, long diskBytes) {
        List<HostedShard> led =
                shards.stream().filter(shard -> shard.replica().leads()).toList();
        return new StorageFigures(
                led.size(),
                led.stream().mapToInt(shard -> shard.jobs().openCount()).sum(),
                led.stream().mapToLong(shard -> shard.jobs().waitingItems()).sum(),
                itemsRunning,
                diskBytes,
                shards.stream().mapToLong(shard -> shard.replica().heldBytes()).sum());
    }
}
