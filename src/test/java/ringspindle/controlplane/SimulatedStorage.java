package ringspindle.controlplane;

import java.util.Collection;
import java.util.List;
import java.util.function.LongConsumer;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Fact;

/**
 * Storage in memory that acknowledges writes after a delay. A later process may load the records of a {@link
 * SimulatedDisk}.
 */
final class SimulatedStorage implements Storage {
    private static final int SYNC_MS = 2;

    /** Keeps records in memory, or nowhere if the list is null. */
    private final class SimulatedRecordLog implements RecordLog {
        private final List<Message> records;
        private LongConsumer onStored;

        SimulatedRecordLog(List<Message> records) {
            this.records = records;
        }

        @Override
        public List<Message> load() {
            return records == null ? List.of() : List.copyOf(records);
        }

        @Override
        public void open(LongConsumer newOnStored, Runnable compact) {
            onStored = newOnStored;
        }

        @Override
        public void write(Write write) {
            write.records().forEach(Codec::encode);
            scheduler.schedule(SYNC_MS, () -> {
                apply(write);
                onStored.accept(write.token());
            });
        }

        private void apply(Write write) {
            if (records == null) {
                return;
            }
            if (write.snapshot()) {
                records.clear();
            }
            records.addAll(write.records());
        }
    }

    private final SimulatedControlNode.TaskScheduler scheduler;
    private final RecordLog replication;
    private final RecordLog counters;

    /** Keeps records on the disk, or none if it is null. */
    SimulatedStorage(SimulatedControlNode.TaskScheduler scheduler, SimulatedDisk disk) {
        this.scheduler = scheduler;
        replication = new SimulatedRecordLog(disk == null ? null : disk.replication);
        counters = new SimulatedRecordLog(disk == null ? null : disk.counters);
    }

    @Override
    public RecordLog replication() {
        return replication;
    }

    @Override
    public RecordLog counters() {
        return counters;
    }

    @Override
    public List<Fact> cachedEngines() {
        return List.of();
    }

    @Override
    public void cacheEngines(Collection<Fact> engines) {
        // never read back in simulations
    }
}
