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

/** A disk that is full for a while: nothing is told to be stored that is not, nothing is lost, and it goes on by itself. */
@Timeout(60)
class GroupCommitWriterTest {
    /** Refuses a number of writes, as a full disk does, and notes what was written when. */
    private static final class FullDisk implements Disk {
        final List<Message> written = Collections.synchronizedList(new ArrayList<>());
        final CountDownLatch refused;

        FullDisk(int times) {
            refused = new CountDownLatch(times);
        }

        @Override
        public List<Message> load() {
            return List.of();
        }

        @Override
        public void append(List<Message> records) throws IOException {
            if (refused.getCount() > 0) {
                refused.countDown();
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
    void nothingCountsAsStoredWhileTheDiskIsFull() throws Exception {
        FullDisk disk = new FullDisk(3);
        List<Long> stored = Collections.synchronizedList(new ArrayList<>());
        List<Integer> writtenThen = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch all = new CountDownLatch(4);
        GroupCommitWriter t = new GroupCommitWriter(
                disk,
                token -> {
                    stored.add(token);
                    writtenThen.add(disk.written.size());
                    all.countDown();
                },
                () -> {});
        for (long token = 1; token <= 3; token++) {
            t.add(new RecordLog.Write(token, List.of(new Synced(1, token)), false));
        }
        Thread thread = new Thread(t);
        thread.setDaemon(true);
        thread.start();
        disk.refused.await();
        t.add(new RecordLog.Write(4, List.of(new Synced(1, 4)), false));
        all.await();
        assertEquals(List.of(1L, 2L, 3L, 4L), stored);
        assertTrue(writtenThen.get(0) >= 3, "told before it was written: " + writtenThen);
        assertEquals(List.of(new Synced(1, 1), new Synced(1, 2), new Synced(1, 3), new Synced(1, 4)), disk.written);
        thread.interrupt();
    }
}
