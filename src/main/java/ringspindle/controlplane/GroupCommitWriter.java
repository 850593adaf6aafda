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
 * Writes records in order and in groups (group commit). A hung disk blocks only the thread of this writer. The records
 * of a group are acknowledged once written and never written again, so a failed write does not repeat earlier ones.
 */
final class GroupCommitWriter implements Runnable {
    /** Maximum size of the log, which one record may exceed, as long as the disk accepts snapshots. */
    static final long MAX_LOG_BYTES = 4 << 20;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long RETRY_MS = 200;
    private static final int RECORD_OVERHEAD_BYTES = 512;

    private final Disk disk;
    private final BlockingQueue<RecordLog.Write> queue = new LinkedBlockingQueue<>();
    private final List<RecordLog.Write> backlog = new ArrayList<>();
    private final LongConsumer onStored;
    private final Runnable requestCompaction;
    private boolean compactionPending;

    /**
     * Creates a writer for the disk.
     *
     * @param onStored called with the token of each write that has been synced
     * @param requestCompaction called when the log should be replaced; must add a snapshot of the current state with
     *     token {@link RecordLog#COMPACTION}, in order with the other records
     */
    GroupCommitWriter(Disk disk, LongConsumer onStored, Runnable requestCompaction) {
        this.disk = disk;
        this.onStored = onStored;
        this.requestCompaction = requestCompaction;
    }

    /** Queues records without waiting for the disk. */
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
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (Error error) {
            FatalErrors.end("writing to disk", error);
        }
    }

    /** Writes one group of the queued records; returns false if the write failed and must be retried. */
    boolean writeNext() {
        queue.drainTo(backlog);
        int snapshotIndex = lastSnapshotIndex();
        List<RecordLog.Write> group =
                List.copyOf(snapshotIndex >= 0 ? backlog.subList(0, snapshotIndex + 1) : appendableGroup());
        try {
            if (snapshotIndex >= 0) {
                disk.snapshot(backlog.get(snapshotIndex).records());
                compactionPending = false;
            } else {
                disk.append(group.stream()
                        .flatMap(write -> write.records().stream())
                        .toList());
            }
        } catch (IOException failure) {
            LOG.atWarning().log("disk write failed: %s", failure);
            prepareRetry(snapshotIndex);
            return false;
        }
        backlog.subList(0, group.size()).clear();
        group.stream()
                .filter(write -> write.token() != RecordLog.COMPACTION)
                .forEach(write -> onStored.accept(write.token()));
        if (disk.logBytes() > MAX_LOG_BYTES) {
            compactOnce();
        }
        return true;
    }

    private void prepareRetry(int snapshotIndex) {
        if (snapshotIndex < 0) {
            // the log may be full or broken: a snapshot does not need it
            compactOnce();
        } else if (backlog.get(snapshotIndex).token() == RecordLog.COMPACTION) {
            // there may still be room for the records themselves
            backlog.remove(snapshotIndex);
            compactionPending = false;
        }
    }

    private void compactOnce() {
        if (!compactionPending) {
            compactionPending = true;
            requestCompaction.run();
        }
    }

    /** Returns the index of the last queued snapshot, -1 without one. Records before it need not be written. */
    private int lastSnapshotIndex() {
        int index = backlog.size() - 1;
        while (index >= 0 && !backlog.get(index).snapshot()) {
            index--;
        }
        return index;
    }

    /** Returns the queued writes that fit into the log, at least one. */
    private List<RecordLog.Write> appendableGroup() {
        long bytes = disk.logBytes();
        int count = 0;
        while (count < backlog.size() && (count == 0 || bytes + estimatedBytes(backlog.get(count)) <= MAX_LOG_BYTES)) {
            bytes += estimatedBytes(backlog.get(count));
            count++;
        }
        return backlog.subList(0, count);
    }

    private static long estimatedBytes(RecordLog.Write write) {
        return write.records().stream()
                .mapToLong(GroupCommitWriter::estimatedBytes)
                .sum();
    }

    private static long estimatedBytes(Message record) {
        if (record instanceof Entry entry) {
            return (long) RECORD_OVERHEAD_BYTES + entry.op().length;
        }
        if (record instanceof CounterAdds adds) {
            return (long) RECORD_OVERHEAD_BYTES * adds.items().size();
        }
        return record instanceof State state ? RECORD_OVERHEAD_BYTES + state.config().length : RECORD_OVERHEAD_BYTES;
    }
}
