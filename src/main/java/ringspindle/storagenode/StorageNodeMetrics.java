package ringspindle.storagenode;

import ringspindle.metrics.Metrics;

/** The figures that a storage node tells; docs/ON-CALL.md says which symptom each is for. */
final class StorageNodeMetrics {
    private StorageNodeMetrics() {}

    static Metrics of(ShardHost host) {
        return new Metrics()
                .gauge(
                        "ringspindle_shards_led",
                        "Shards that this node leads and takes calls for.",
                        () -> host.figures().shardsLed())
                .gauge("ringspindle_jobs_open", "Batch jobs of these shards that are not over.", () -> host.figures()
                        .jobsOpen())
                .gauge(
                        "ringspindle_items_waiting",
                        "Items of these jobs without a result, running ones among them.",
                        () -> host.figures().itemsWaiting())
                .gauge(
                        "ringspindle_items_running",
                        "Items that this node has run at engines, through itself or other storage nodes.",
                        () -> host.figures().itemsRunning())
                .gauge("ringspindle_storage_disk_bytes", "Size of the log on disk.", () -> host.figures()
                        .diskBytes())
                .gauge(
                        "ringspindle_storage_log_bytes",
                        "Records of all replicas that are held in memory.",
                        () -> host.figures().logBytes());
    }
}
