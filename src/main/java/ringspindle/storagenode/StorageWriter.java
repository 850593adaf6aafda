package ringspindle.storagenode;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import ringspindle.protocol.Message;
import ringspindle.storage.SegmentedLog;
import ringspindle.transport.FatalErrors;

/**
 * Writes records in order and in groups, on a thread of its own: a disk that hangs holds up nothing else. A group that is refused is
 * tried again until the disk takes it.
 */
final class StorageWriter implements RecordWriter, Runnable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int RETRY_MS = 200;
    private static final int GROUP_MAX = 512;

    private final SegmentedLog log;
    private final Supplier<List<Message>> head;
    private final Listener listener;
    private final BlockingQueue<Write> queue = new LinkedBlockingQueue<>();
    private volatile long bytes;

    /**
     * A writer to a log that was loaded.
     *
     * @param head what a new file begins with: it stands for all promises of older ones
     */
    StorageWriter(SegmentedLog log, Supplier<List<Message>> head, Listener listener) {
        this.log = log;
        this.head = head;
        this.listener = listener;
        bytes = log.bytes();
    }

    @Override
    public void add(Write write) {
        queue.add(write);
    }

    @Override
    public long bytes() {
        return bytes;
    }

    @Override
    public void run() {
        List<Write> group = new ArrayList<>();
        try {
            while (true) {
                group.add(queue.take());
                queue.drainTo(group, GROUP_MAX);
                while (!write(group)) {
                    TimeUnit.MILLISECONDS.sleep(RETRY_MS);
                }
                group.clear();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (Error failure) {
            FatalErrors.end("writing to disk", failure);
        }
    }

    private boolean write(List<Write> group) {
        try {
            if (log.isSegmentFull()) {
                log.startSegment(head.get());
                log.removeBelow(listener.firstNeededSegment());
            }
            long segment = log.append(group.stream().map(Write::record).toList());
            bytes = log.bytes();
            listener.written(List.copyOf(group), segment);
            return true;
        } catch (IOException refused) {
            LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("disk refuses: %s", refused);
            return false;
        }
    }
}
