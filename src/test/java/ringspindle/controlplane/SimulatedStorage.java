package ringspindle.controlplane;

import java.util.Collection;
import java.util.List;
import java.util.function.LongConsumer;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Fact;

/** Storage that keeps nothing on any disk, and tells after a delay that it does; a later process may take over its records. */
final class SimulatedStorage implements Storage {
    private static final int SYNC_MS = 2;

    /** Records that are kept in memory, and only where somebody will ask for them. */
    private final class SimulatedRecordLog implements RecordLog {
        private final List<Message> kept;
        private LongConsumer stored;

        SimulatedRecordLog(List<Message> kept) {
            this.kept = kept;
        }

        @Override
        public List<Message> load() {
            return kept == null ? List.of() : List.copyOf(kept);
        }

        @Override
        public void open(LongConsumer then, Runnable compact) {
            stored = then;
        }

        @Override
        public void write(Write records) {
            records.records().forEach(Codec::encode);
            scheduler.schedule(SYNC_MS, () -> {
                keep(records);
                stored.accept(records.token());
            });
        }

        private void keep(Write records) {
            if (kept == null) {
                return;
            }
            if (records.snapshot()) {
                kept.clear();
            }
            kept.addAll(records.records());
        }
    }

    private final SimulatedControlNode.TaskScheduler scheduler;
    private final RecordLog replication;
    private final RecordLog counters;

    /** Keeps records on that disk, or nothing if it is null. */
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
        // a hint that nobody reads here
    }
}
