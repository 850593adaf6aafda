package ringspindle.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import ringspindle.protocol.Message;

/** Records that outlast a loss of power: two slots for snapshots, written in turn, and a short log behind the newer one. */
public interface Disk {
    /**
     * What was found, oldest first: the newer snapshot, then the log. Empty on a new disk. What is returned lasts. Throws
     * {@link UnreadableStorageException}, with the files as they were, if something must not be passed over. Comes before
     * all else.
     */
    List<Message> load() throws IOException;

    /**
     * Appends the records to the log and syncs them; {@code disk.append(List.of(vote))}. After a failure the first of these
     * may be found by a load, until the next call returns.
     */
    void append(List<Message> records) throws IOException;

    /**
     * Writes the other slot with all that counts, and starts the log anew; {@code disk.snapshot(List.of(vote, state))}. After
     * a failure either this snapshot or what was there before counts.
     */
    void snapshot(List<Message> records) throws IOException;

    /** Bytes in the log since the last snapshot; {@code if (disk.logBytes() > LOG_MAX) ...}. */
    long logBytes();

    /** A disk in that folder, with records of any kind; {@code Disk.open(Path.of("/data/core"))}. */
    static Disk open(Path folder) {
        return open(StorageFolder.of(folder), record -> true);
    }

    /**
     * A disk in that folder.
     *
     * @param known a load refuses records for which this is false or throws;
     *     {@code Disk.open(folder, record -> record instanceof Vote)}
     */
    static Disk open(StorageFolder folder, Predicate<Message> known) {
        return new SlotDisk(folder, known);
    }
}
