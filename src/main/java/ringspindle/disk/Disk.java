package ringspindle.disk;

import java.io.*;
import java.nio.file.*;
import java.util.*;
import ringspindle.wire.Msg;

/** Keeps records: two slots written in turn, and a short log behind the newer one. */
public interface Disk {
    /** What was found, oldest first: what the slot held, then the log. Empty on a new disk. */
    List<Msg> load() throws IOException;

    /** Appends and syncs; {@code disk.append(List.of(vote))}. */
    void append(List<Msg> records) throws IOException;

    /** Writes the other slot with all that counts, and starts the log anew; {@code disk.image(List.of(vote, state))}. */
    void image(List<Msg> records) throws IOException;

    /** Bytes in the log since the last image; {@code if (disk.logBytes() > 1 << 20) ...}. */
    long logBytes();

    /** {@code Disk.open(Path.of("/data/core"))}. */
    static Disk open(Path folder) {
        return new SlotDisk(new NioFolder(folder));
    }
}
