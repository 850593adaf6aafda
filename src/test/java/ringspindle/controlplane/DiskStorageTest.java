package ringspindle.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Entry;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Vote;
import ringspindle.storage.Disk;
import ringspindle.storage.UnreadableStorageException;
import ringspindle.storage.UnreadableStorageException.Reason;

/** Only records of the kinds that a control node writes are loaded; all others are rejected. */
class DiskStorageTest {
    private static final Vote VOTE = new Vote(1, 2, 3, null, null);

    @TempDir
    Path folder;

    private void write(Message record) throws Exception {
        Disk disk = Disk.open(folder);
        disk.load();
        disk.append(List.of(record));
    }

    @Test
    void votesAndEntriesAreReadBack() throws Exception {
        write(VOTE);
        write(new Entry(1, 1, Codec.encode(new Op(1, 0, 0, 0, "", new byte[0]))));
        assertEquals(
                VOTE,
                new DiskStorage(folder, Runnable::run).replication().load().get(0));
        assertEquals(
                2, new DiskStorage(folder, Runnable::run).replication().load().size());
    }

    @Test
    void otherMessagesAndUnreadableOperationsAreRejected() throws Exception {
        List<Message> unknown =
                List.of(new Relearn(1), new Entry(1, 1, Codec.encode(VOTE)), new Entry(1, 1, new byte[] {1, 2, 3}));
        for (int i = 0; i < unknown.size(); i++) {
            Disk disk = Disk.open(folder);
            disk.load();
            disk.snapshot(List.of(VOTE));
            disk.append(List.of(unknown.get(i)));
            for (int start = 0; start < 2; start++) {
                UnreadableStorageException exception =
                        assertThrows(UnreadableStorageException.class, () -> new DiskStorage(folder, Runnable::run)
                                .replication()
                                .load());
                assertEquals(Reason.UNKNOWN_RECORD, exception.reason());
            }
        }
    }
}
