package ringspindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.ShardMessage.ShardEntry;

/** Records in files that follow each other: what was appended is found, torn ends are not, and old files go. */
class SegmentedLogTest {
    private static final int LARGE = 3 << 20;

    @TempDir
    private Path folder;

    private SegmentedLog log() {
        return new SegmentedLog(StorageFolder.of(folder));
    }

    private static List<Long> ids(List<SegmentedLog.Found> found) {
        List<Long> ids = new ArrayList<>();
        found.forEach(each ->
                ids.add(each.record() instanceof Relearn small ? small.id() : ((ShardEntry) each.record()).seq()));
        return ids;
    }

    private static Message large(long id) {
        return new ShardEntry(0, 1, id, 0, new byte[LARGE]);
    }

    private void append(SegmentedLog log, Message... records) throws IOException {
        if (log.isSegmentFull()) {
            log.startSegment(List.of(new Relearn(0)));
        }
        log.append(List.of(records));
    }

    @Test
    void whatWasAppendedIsFoundInOrderOverFiles() throws Exception {
        SegmentedLog log = log();
        assertEquals(List.of(), log.load());
        append(log, new Relearn(1));
        append(log, large(2), large(3));
        append(log, new Relearn(4));
        SegmentedLog again = log();
        assertEquals(List.of(0L, 1L, 2L, 3L, 0L, 4L), ids(again.load()));
        append(again, new Relearn(5));
        assertEquals(List.of(0L, 1L, 2L, 3L, 0L, 4L, 5L), ids(log().load()));
        again.removeBelow(2);
        SegmentedLog third = log();
        assertEquals(List.of(0L, 4L, 5L), ids(third.load()));
        third.removeBelow(99);
        assertEquals(List.of(0L, 4L, 5L), ids(log().load()), "the last file stays");
    }

    @Test
    void aTornEndIsCutOffAndWrittenOver() throws Exception {
        SegmentedLog log = log();
        log.load();
        append(log, new Relearn(1), new Relearn(2));
        Path file = folder.resolve("segment-1");
        byte[] whole = Files.readAllBytes(file);
        for (int cut = 1; cut < 20; cut++) {
            Files.write(file, Arrays.copyOf(whole, whole.length - cut));
            assertEquals(List.of(0L, 1L), ids(log().load()), "cut by " + cut);
        }
        SegmentedLog again = log();
        again.load();
        append(again, new Relearn(3));
        assertEquals(List.of(0L, 1L, 3L), ids(log().load()));
    }

    @Test
    void aTornFileBeforeTheLastIsRefusedAndLeftAsItWas() throws Exception {
        SegmentedLog log = log();
        log.load();
        append(log, large(1), large(2));
        append(log, new Relearn(3));
        Path file = folder.resolve("segment-1");
        byte[] torn = Arrays.copyOf(Files.readAllBytes(file), 100);
        Files.write(file, torn);
        assertThrows(UnreadableStorageException.class, () -> log().load());
        assertEquals(100, Files.size(file));
    }

    @Test
    void aKilledProcessLeavesWhatWasSynced() throws Exception {
        SegmentedLog log = new SegmentedLog(new UnsyncedFolder(folder));
        log.load();
        append(log, new Relearn(1));
        append(log, new Relearn(2));
        assertEquals(List.of(0L, 1L, 2L), ids(log().load()));
        assertTrue(log.bytes() > 0);
    }
}
