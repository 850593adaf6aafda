package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.LongConsumer;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.CounterAdds;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.State;
import ringspindle.storage.Disk;
import ringspindle.transport.FatalErrors;

/**
 * Writes records in order and in groups; a disk that hangs holds up only this thread. What a group wrote is told and never
 * written again, so a refused write does not repeat those before it.
 */
final class GroupCommitWriter implements Runnable {
    /** While the disk takes snapshots, the log is at most this long, and one record. */
    static final long LOG_MAX = 4 << 20;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long RETRY_MS = 200;
    private static final int SMALL_RECORD = 512;

    private final Disk disk;
    private final BlockingQueue<RecordLog.Write> queue = new LinkedBlockingQueue<>();
    private final List<RecordLog.Write> backlog = new ArrayList<>();
    private final LongConsumer stored;
    private final Runnable compact;
    private boolean compacting;

    /** {@code compact} takes a snapshot of what counts, with token {@link RecordLog#COMPACTION}, in order with the other records. */
    GroupCommitWriter(Disk disk, LongConsumer stored, Runnable compact) {
        this.disk = disk;
        this.stored = stored;
        this.compact = compact;
    }

    /** Queues records; never waits for the disk. */
    void add(RecordLog.Write records) {
        queue.add(records);
    }

    @Override
    public void run() {
        try {
            while (true) {
                if (backlog.isEmpty()) {
                    backlog.add(queue.take());
                }
                if (!writeNext()) {
                    Thread.sleep(RETRY_MS);
                }
            }
        } catch (InterruptedException x) {
            Thread.currentThread().interrupt();
        } catch (Error e) {
            FatalErrors.end("writing to disk", e);
        }
    }

    /** Writes one group of what was taken; false if the disk refuses it, and it is to be tried again. */
    boolean writeNext() {
        queue.drainTo(backlog);
        int snapshot = lastSnapshot();
        List<RecordLog.Write> group = List.copyOf(snapshot >= 0 ? backlog.subList(0, snapshot + 1) : appendable());
        try {
            if (snapshot >= 0) {
                disk.snapshot(backlog.get(snapshot).records());
                compacting = false;
            } else {
                disk.append(group.stream()
                        .flatMap(write -> write.records().stream())
                        .toList());
            }
        } catch (IOException refused) {
            LOG.atWarning().log("disk refuses: %s", refused);
            retryAfter(snapshot);
            return false;
        }
        backlog.subList(0, group.size()).clear();
        group.stream()
                .filter(write -> write.token() != RecordLog.COMPACTION)
                .forEach(write -> stored.accept(write.token()));
        if (disk.logBytes() > LOG_MAX) {
            compactOnce();
        }
        return true;
    }

    private void retryAfter(int snapshot) {
        if (snapshot < 0) {
            // the log is full, or broken: a snapshot does without it
            compactOnce();
        } else if (backlog.get(snapshot).token() == RecordLog.COMPACTION) {
            // perhaps there is room for the records themselves
            backlog.remove(snapshot);
            compacting = false;
        }
    }

    private void compactOnce() {
        if (!compacting) {
            compacting = true;
            compact.run();
        }
    }

    /** Index of the last snapshot: all before it need not be written. */
    private int lastSnapshot() {
        int last = backlog.size() - 1;
        while (last >= 0 && !backlog.get(last).snapshot()) {
            last--;
        }
        return last;
    }

    /** As many as fit the log, one at least. */
    private List<RecordLog.Write> appendable() {
        long bytes = disk.logBytes();
        int count = 0;
        while (count < backlog.size() && (count == 0 || bytes + bytes(backlog.get(count)) <= LOG_MAX)) {
            bytes += bytes(backlog.get(count));
            count++;
        }
        return backlog.subList(0, count);
    }

    private static long bytes(RecordLog.Write write) {
        return write.records().stream().mapToLong(GroupCommitWriter::bytes).sum();
    }

    private static long bytes(Message record) {
        if (record instanceof Entry e) {
            return (long) SMALL_RECORD + e.op().length;
        }
        if (record instanceof CounterAdds adds) {
            return (long) SMALL_RECORD * adds.items().size();
        }
        return record instanceof State s ? SMALL_RECORD + s.config().length : SMALL_RECORD;
    }
}
