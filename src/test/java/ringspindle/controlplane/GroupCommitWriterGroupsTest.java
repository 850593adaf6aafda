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

/** Groups and images, step by step without a thread: nothing is written twice or out of order, and the log stays short. */
class GroupCommitWriterGroupsTest {
    private static final int MEGABYTE = 1 << 20;

    /** Keeps what counts, as after a load; refuses at will. */
    private static final class MemoryDisk implements Disk {
        final List<Message> records = new ArrayList<>();
        BooleanSupplier refusesAppends = () -> false;
        BooleanSupplier refusesImages = () -> false;
        long logBytes;
        long mostLogBytes;

        private static void refuseIf(BooleanSupplier refuses) throws IOException {
            if (refuses.getAsBoolean()) {
                throw new IOException("No space left on device");
            }
        }

        @Override
        public List<Message> load() {
            return records;
        }

        @Override
        public void append(List<Message> added) throws IOException {
            refuseIf(refusesAppends);
            records.addAll(added);
            logBytes += added.stream()
                    .mapToLong(record -> ((Entry) record).op().length)
                    .sum();
            mostLogBytes = Math.max(mostLogBytes, logBytes);
        }

        @Override
        public void snapshot(List<Message> all) throws IOException {
            refuseIf(refusesImages);
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
    private final List<Long> told = new ArrayList<>();
    private long taken;
    private final GroupCommitWriter thread = new GroupCommitWriter(disk, this::told, this::compact);

    /** What is told is on the disk: itself, or a later record in an image. */
    private void told(long token) {
        told.add(token);
        List<Long> kept = disk.sequence();
        assertTrue(kept.get(kept.size() - 1) >= token, () -> "told " + token + " of " + kept);
    }

    private void compact() {
        thread.add(new RecordLog.Write(RecordLog.COMPACTION, List.of(new Entry(1, taken, new byte[0])), true));
    }

    private void take(int bytes) {
        taken++;
        thread.add(new RecordLog.Write(taken, List.of(new Entry(1, taken, new byte[bytes])), false));
    }

    private List<Long> upTo(long last) {
        return LongStream.rangeClosed(1, last).boxed().toList();
    }

    @Test
    void recordsAreNotRepeatedWhileImagesAreRefused() {
        disk.refusesImages = () -> true;
        for (int i = 0; i < 40; i++) {
            take(MEGABYTE);
        }
        for (int step = 0; told.size() < 40; step++) {
            assertTrue(step < 200, "does not come to an end");
            thread.writeNext();
        }
        assertEquals(upTo(40), disk.sequence());
        assertEquals(upTo(40), told);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 16})
    void logIsShortWhateverWaits(int megabytes) {
        for (int i = 0; i < 10; i++) {
            take(megabytes * MEGABYTE);
        }
        while (told.size() < 10) {
            assertTrue(thread.writeNext());
        }
        assertTrue(
                disk.mostLogBytes <= GroupCommitWriter.LOG_MAX + megabytes * MEGABYTE, "log of " + disk.mostLogBytes);
        assertEquals(upTo(10), told);
    }

    @Test
    void fullLogIsReplacedByAnImage() {
        disk.refusesAppends = () -> true;
        take(1);
        thread.writeNext();
        assertEquals(List.of(), told);
        assertTrue(thread.writeNext());
        assertEquals(List.of(1L), told);
    }

    @Test
    void noPatternOfRefusalsPutsAnOlderRecordBehindANewerOne() {
        Random luck = new Random(41);
        disk.refusesAppends = () -> luck.nextInt(3) == 0;
        disk.refusesImages = () -> luck.nextInt(2) == 0;
        for (int step = 0; step < 5000; step++) {
            if (luck.nextInt(3) == 0) {
                take(luck.nextInt(2 * MEGABYTE));
            }
            thread.add(new RecordLog.Write(++taken, List.of(new Entry(1, taken, new byte[0])), luck.nextInt(10) == 0));
            thread.writeNext();
            List<Long> kept = disk.sequence();
            assertEquals(kept.stream().distinct().sorted().toList(), kept);
        }
        assertEquals(upTo(told.size()), told);
        assertTrue(told.size() > 1000, "told " + told.size());
    }
}
