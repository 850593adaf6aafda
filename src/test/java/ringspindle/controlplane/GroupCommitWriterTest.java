package ringspindle.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Synced;
import ringspindle.storage.Disk;

/**
 * While a disk is full, no unwritten record is acknowledged; afterwards writing resumes by itself without lost records.
 */
@Timeout(60)
class GroupCommitWriterTest {
    /** Fails a number of writes, as a full disk does, and records what was written. */
    private static final class FullDisk implements Disk {
        final List<Message> written = Collections.synchronizedList(new ArrayList<>());
        final CountDownLatch remainingFailures;

        FullDisk(int failures) {
            remainingFailures = new CountDownLatch(failures);
        }

        @Override
        public List<Message> load() {
            return List.of();
        }

        @Override
        public void append(List<Message> records) throws IOException {
            if (remainingFailures.getCount() > 0) {
                remainingFailures.countDown();
                throw new IOException("No space left on device");
            }
            written.addAll(records);
        }

        @Override
        public void snapshot(List<Message> records) throws IOException {
            append(records);
        }

        @Override
        public long logBytes() {
            return 0;
        }
    }

    @Test
    void nothingIsAcknowledgedWhileTheDiskIsFull() throws Exception {
        FullDisk disk = new FullDisk(3);
        List<Long> stored = Collections.synchronizedList(new ArrayList<>());
        List<Integer> writtenAtAcknowledgement = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch acknowledgements = new CountDownLatch(4);
        GroupCommitWriter writer = new GroupCommitWriter(
                disk,
                token -> {
                    stored.add(token);
                    writtenAtAcknowledgement.add(disk.written.size());
                    acknowledgements.countDown();
                },
                () -> {});
        for (long token = 1; token <= 3; token++) {
            writer.add(new RecordLog.Write(token, List.of(new Synced(1, token)), false));
        }
        Thread thread = new Thread(writer);
        thread.setDaemon(true);
        thread.start();
        disk.remainingFailures.await();
        writer.add(new RecordLog.Write(4, List.of(new Synced(1, 4)), false));
        acknowledgements.await();
        assertEquals(List.of(1L, 2L, 3L, 4L), stored);
        assertTrue(
                writtenAtAcknowledgement.get(0) >= 3,
                "acknowledged before it was written: " + writtenAtAcknowledgement);
        assertEquals(List.of(new Synced(1, 1), new Synced(1, 2), new Synced(1, 3), new Synced(1, 4)), disk.written);
        thread.interrupt();
    }
}
