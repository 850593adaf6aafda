package ringspindle.controlplane;

import java.util.Collection;
import java.util.List;
import java.util.function.LongConsumer;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Fact;

/** Storage that keeps nothing, and tells after a delay that it does. */
final class HollowStorage implements Storage {
    private static final int SYNC_MS = 2;

    /** Records that are encoded and dropped. */
    private final class HollowLog implements RecordLog {
        private LongConsumer stored;

        @Override
        public List<Message> load() {
            return List.of();
        }

        @Override
        public void open(LongConsumer then, Runnable compact) {
            stored = then;
        }

        @Override
        public void write(Write records) {
            records.records().forEach(Codec::encode);
            later.at(SYNC_MS, () -> stored.accept(records.token()));
        }
    }

    private final HollowControlNode.Later later;
    private final RecordLog replication = new HollowLog();
    private final RecordLog counters = new HollowLog();

    HollowStorage(HollowControlNode.Later later) {
        this.later = later;
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
