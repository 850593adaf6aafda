package ringspindle.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import ringspindle.protocol.Message;

/** Keeps records: two slots written in turn, and a short log behind the newer one. */
public interface Disk {
    /**
     * What was found, oldest first: what the slot held, then the log. Empty on a new disk. What is given lasts. Throws
     * {@link UnreadableStorageException}, with the files as they were, if something must not be passed over.
     */
    List<Message> load() throws IOException;

    /**
     * Appends and syncs; {@code disk.append(List.of(vote))}. After a failure the first of these may be found by a load, until
     * the next call returns.
     */
    void append(List<Message> records) throws IOException;

    /**
     * Writes the other slot with all that counts, and starts the log anew; {@code disk.image(List.of(vote, state))}. After a
     * failure either this image or what was there before counts.
     */
    void image(List<Message> records) throws IOException;

    /** Bytes in the log since the last image; {@code if (disk.logBytes() > 1 << 20) ...}. */
    long logBytes();

    /** Takes records of any kind; {@code Disk.open(Path.of("/data/core"))}. */
    static Disk open(Path folder) {
        return open(folder, record -> true);
    }

    /** A load refuses records that are not known; {@code Disk.open(folder, record -> record instanceof Vote)}. */
    static Disk open(Path folder, Predicate<Message> known) {
        return new SlotDisk(new NioFolder(folder), known);
    }
}
