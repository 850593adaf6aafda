package ringspindle.controlplane;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.Vote;
import ringspindle.replication.ReplicatedState;
import ringspindle.storage.Disk;

/** Two slots and a log in a folder, and the engines beside them. */
public final class DiskStorage implements Storage {
    private final Disk disk;
    private final EngineCacheFile engines;
    private GroupCommitWriter writer;

    /** Keeps data in that folder; writes on a thread of that executor. */
    public DiskStorage(Path folder, Executor pool) {
        disk = Disk.open(folder, DiskStorage::known);
        engines = new EngineCacheFile(folder.resolve("engines"), pool);
    }

    private static boolean known(Message record) {
        return record instanceof Vote
                || record instanceof State
                || record instanceof Entry e && Codec.decode(e.op()) instanceof Op;
    }

    @Override
    public List<Message> load() throws IOException {
        return disk.load();
    }

    @Override
    public void open(LongConsumer stored, Runnable compact) {
        writer = new GroupCommitWriter(disk, stored, compact);
        Thread thread = new Thread(writer, "disk");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void write(ReplicatedState.Out.Store records) {
        writer.add(records);
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
