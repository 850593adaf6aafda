package ringspindle.cp;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import ringspindle.chain.Chain;
import ringspindle.disk.Disk;
import ringspindle.wire.Codec;
import ringspindle.wire.Msg;
import ringspindle.wire.Msg.Entry;
import ringspindle.wire.Msg.Item;
import ringspindle.wire.Msg.Op;
import ringspindle.wire.Msg.State;
import ringspindle.wire.Msg.Vote;

/** Two slots and a log in a folder, and the engines beside them. */
final class DiskStorage implements Storage {
    private final Disk disk;
    private final EngineFile engines;
    private DiskThread thread;

    DiskStorage(Path folder, Executor pool) {
        disk = Disk.open(folder, DiskStorage::known);
        engines = new EngineFile(folder.resolve("engines"), pool);
    }

    private static boolean known(Msg record) {
        return record instanceof Vote
                || record instanceof State
                || record instanceof Entry e && Codec.decode(e.op()) instanceof Op;
    }

    @Override
    public List<Msg> load() throws IOException {
        return disk.load();
    }

    @Override
    public void open(LongConsumer stored, Runnable compact) {
        thread = new DiskThread(disk, stored, compact);
        Thread t = new Thread(thread, "disk");
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void take(Chain.Out.Store s) {
        thread.take(s);
    }

    @Override
    public List<Item> engines() {
        return engines.load();
    }

    @Override
    public void keep(Collection<Item> now) {
        engines.keep(now);
    }
}
