package ringspindle.controlplane;

import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Function;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.CounterAdds;
import ringspindle.protocol.Message.CounterSnapshot;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Vote;
import ringspindle.storage.Disk;
import ringspindle.storage.StorageFolder;

/** Stores the control state and the engine cache in one folder, and the counters in a subfolder. */
public final class DiskStorage implements Storage {
    private static final String COUNTERS_FOLDER = "counters";

    private final RecordLog replication;
    private final RecordLog counters;
    private final EngineCacheFile engines;

    /** Stores data in the folder; the engine cache is written on the executor. */
    public DiskStorage(Path folder, Executor pool) {
        this(folder, StorageFolder::of, pool);
    }

    /** Stores records in folders that are opened with {@code folders}. */
    DiskStorage(Path folder, Function<Path, StorageFolder> folders, Executor pool) {
        replication = new DiskRecordLog(Disk.open(folders.apply(folder), DiskStorage::isControlStateRecord), "disk");
        counters = new DiskRecordLog(
                Disk.open(folders.apply(folder.resolve(COUNTERS_FOLDER)), DiskStorage::isCounterRecord),
                "disk-counters");
        engines = new EngineCacheFile(folder.resolve("engines"), pool);
    }

    private static boolean isControlStateRecord(Message record) {
        return record instanceof Vote
                || record instanceof State
                || record instanceof Entry entry && Codec.decode(entry.op()) instanceof Op;
    }

    private static boolean isCounterRecord(Message record) {
        return record instanceof CounterAdds || record instanceof CounterSnapshot;
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
        return engines.load();
    }

    @Override
    public void cacheEngines(Collection<Fact> facts) {
        engines.store(facts);
    }
}
