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

/** A folder with the records of the control state, those of the counters in a folder below it, and the engines beside them. */
public final class DiskStorage implements Storage {
    private static final String COUNTERS = "counters";

    private final RecordLog replication;
    private final RecordLog counters;
    private final EngineCacheFile engines;

    /** Keeps data in that folder; engines are cached on a thread of that executor. */
    public DiskStorage(Path folder, Executor pool) {
        this(folder, StorageFolder::of, pool);
    }

    /** Keeps records in folders that are opened with {@code folders}. */
    DiskStorage(Path folder, Function<Path, StorageFolder> folders, Executor pool) {
        replication = new DiskRecordLog(Disk.open(folders.apply(folder), DiskStorage::isOfControlState), "disk");
        counters = new DiskRecordLog(
                Disk.open(folders.apply(folder.resolve(COUNTERS)), DiskStorage::isOfCounters), "disk-counters");
        engines = new EngineCacheFile(folder.resolve("engines"), pool);
    }

    private static boolean isOfControlState(Message record) {
        return record instanceof Vote
                || record instanceof State
                || record instanceof Entry e && Codec.decode(e.op()) instanceof Op;
    }

    private static boolean isOfCounters(Message record) {
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
    public void cacheEngines(Collection<Fact> now) {
        engines.store(now);
    }
}
