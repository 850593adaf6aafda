package ringspindle.controlplane;

import java.io.IOException;
import java.util.List;
import java.util.function.LongConsumer;
import ringspindle.protocol.Message;
import ringspindle.storage.Disk;

/** A record log on disk, two snapshot slots and a log file, written by a dedicated thread. */
final class DiskRecordLog implements RecordLog {
    private final Disk disk;
    private final String threadName;
    private GroupCommitWriter writer;

    DiskRecordLog(Disk disk, String threadName) {
        this.disk = disk;
        this.threadName = threadName;
    }

    @Override
    public List<Message> load() throws IOException {
        return disk.load();
    }

    @Override
    public void open(LongConsumer stored, Runnable compact) {
        writer = new GroupCommitWriter(disk, stored, compact);
        Thread thread = new Thread(writer, threadName);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void write(Write records) {
        writer.add(records);
    }
}
