package ringspindle.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** The file operations that a {@link Disk} needs, so that a test can decide what a loss of power leaves behind. */
public interface StorageFolder {
    /** A folder of the file system; {@code StorageFolder.of(Path.of("/data/core"))}. */
    static StorageFolder of(Path path) {
        return new NioFolder(path);
    }

    /** Makes the folder if it is missing. */
    void create() throws IOException;

    /** Names of the files in the folder, in no order. */
    List<String> list() throws IOException;

    /** The whole file, or empty if there is none. */
    Optional<byte[]> read(String name) throws IOException;

    /** Opens a file for writing, and creates it empty if there is none. */
    StorageFile open(String name) throws IOException;

    /** Removes a file; a missing one is no error. */
    void remove(String name) throws IOException;

    /** Makes names that were created or removed last over a loss of power. */
    void sync() throws IOException;

    /** A file open for writing. */
    interface StorageFile extends Closeable {
        /** Writes all bytes from this offset on; a failure may leave a part of them. */
        void write(long offset, ByteBuffer bytes) throws IOException;

        /** Cuts the file to this size if it is longer. */
        void truncate(long size) throws IOException;

        /** Makes content and size last over a loss of power; the name needs {@link StorageFolder#sync}. */
        void sync() throws IOException;
    }
}
