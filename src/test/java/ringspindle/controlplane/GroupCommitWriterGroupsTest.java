package ringspindle.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Entry;
import ringspindle.storage.Disk;

/**
 * Groups and snapshots, run step by step without a thread: nothing is written twice or out of order, and the log stays
 * small.
 */
class GroupCommitWriterGroupsTest {
    private static final int MEBIBYTE = 1 << 20;

    /** Keeps the records that a load would return; fails appends and snapshots on request. */
    private static final class MemoryDisk implements Disk {
        final List<Message> records = new ArrayList<>();
        BooleanSupplier failsAppends = () -> false;
        BooleanSupplier failsSnapshots = () -> false;
        long logBytes;
        long maxLogBytes;

        private static void failIf(BooleanSupplier fails) throws IOException {
            if (fails.getAsBoolean()) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public List<Message> load() {
            return records;
        }

        @Override
        public void append(List<Message> added) throws IOException {
            failIf(failsAppends);
            records.addAll(added);
            logBytes += added.stream()
                    .mapToLong(record -> ((Entry) record).op().length)
                    .sum();
            maxLogBytes = Math.max(maxLogBytes, logBytes);
        }

        @Override
        public void snapshot(List<Message> all) throws IOException {
            failIf(failsSnapshots);
            records.clear();
            records.addAll(all);
            logBytes = 0;
        }

        @Override
        public long logBytes() {
            return logBytes;
        }

        List<Long> sequence() {
            return records.stream().map(record -> ((Entry) record).seq()).toList();
        }
    }

    private final MemoryDisk disk = new MemoryDisk();
    private final List<Long> acknowledged = new ArrayList<>();
    private long lastToken;
    private final GroupCommitWriter writer = new GroupCommitWriter(disk, this::onStored, this::compact);

    /** Checks that an acknowledged record is on the disk, itself or through a later record in a snapshot. */
    private void onStored(long token) {
        acknowledged.add(token);
        List<Long> stored = disk.sequence();
        assertTrue(stored.get(stored.size() - 1) >= token, () -> "acknowledged " + token + ", stored " + stored);
    }

    private void compact() {
        writer.add(new RecordLog.Write(RecordLog.COMPACTION, List.of(new Entry(1, lastToken, new byte[0])), true));
    }

    private void addRecord(int bytes) {
        lastToken++;
        writer.add(new RecordLog.Write(lastToken, List.of(new Entry(1, lastToken, new byte[bytes])), false));
    }

    private List<Long> upTo(long last) {
        return LongStream.rangeClosed(1, last).boxed().toList();
    }

    @Test
    void recordsAreNotRepeatedWhileSnapshotsFail() {
        disk.failsSnapshots = () -> true;
        for (int i = 0; i < 40; i++) {
            addRecord(MEBIBYTE);
        }
        for (int step = 0; acknowledged.size() < 40; step++) {
            assertTrue(step < 200, "not all records were written after 200 steps");
            writer.writeNext();
        }
        assertEquals(upTo(40), disk.sequence());
        assertEquals(upTo(40), acknowledged);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 16})
    void logSizeIsBoundedWhateverIsQueued(int mebibytes) {
        for (int i = 0; i < 10; i++) {
            addRecord(mebibytes * MEBIBYTE);
        }
        while (acknowledged.size() < 10) {
            assertTrue(writer.writeNext());
        }
        assertTrue(
                disk.maxLogBytes <= GroupCommitWriter.MAX_LOG_BYTES + mebibytes * MEBIBYTE,
                "log size in bytes: " + disk.maxLogBytes);
        assertEquals(upTo(10), acknowledged);
    }

    @Test
    void fullLogIsReplacedByASnapshot() {
        disk.failsAppends = () -> true;
        addRecord(1);
        writer.writeNext();
        assertEquals(List.of(), acknowledged);
        assertTrue(writer.writeNext());
        assertEquals(List.of(1L), acknowledged);
    }

    @Test
    void noPatternOfFailuresReordersRecords() {
        Random random = new Random(41);
        disk.failsAppends = () -> random.nextInt(3) == 0;
        disk.failsSnapshots = () -> random.nextInt(2) == 0;
        for (int step = 0; step < 5000; step++) {
            if (random.nextInt(3) == 0) {
                addRecord(random.nextInt(2 * MEBIBYTE));
            }
            writer.add(new RecordLog.Write(
                    ++lastToken, List.of(new Entry(1, lastToken, new byte[0])), random.nextInt(10) == 0));
            writer.writeNext();
            List<Long> stored = disk.sequence();
            assertEquals(stored.stream().distinct().sorted().toList(), stored);
        }
        assertEquals(upTo(acknowledged.size()), acknowledged);
        assertTrue(acknowledged.size() > 1000, "acknowledged: " + acknowledged.size());
    }
}
