package ringspindle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A folder whose writes reach the file only with their sync: a process that is killed leaves behind what a loss of power
 * would, with all unsynced writes gone.
 */
public final class UnsyncedFolder implements StorageFolder {
    private final StorageFolder folder;

    /** The folder of the file system at that path. */
    public UnsyncedFolder(Path path) {
        folder = StorageFolder.of(path);
    }

    /** A change of a file that waits for its sync. */
    private interface Change {
        void apply(StorageFile file) throws IOException;
    }

    @Override
    public void create() throws IOException {
        folder.create();
    }

    @Override
    public List<String> list() throws IOException {
        return folder.list();
    }

    @Override
    public Optional<byte[]> read(String name) throws IOException {
        return folder.read(name);
    }

    @Override
    public StorageFile open(String name) throws IOException {
        StorageFile file = folder.open(name);
        List<Change> unsynced = new ArrayList<>();
        return new StorageFile() {
            @Override
            public void write(long offset, ByteBuffer bytes) {
                byte[] copy = new byte[bytes.remaining()];
                bytes.get(copy);
                unsynced.add(to -> to.write(offset, ByteBuffer.wrap(copy)));
            }

            @Override
            public void truncate(long size) {
                unsynced.add(to -> to.truncate(size));
            }

            @Override
            public void sync() throws IOException {
                for (Change change : unsynced) {
                    change.apply(file);
                }
                unsynced.clear();
                file.sync();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    @Override
    public void remove(String name) throws IOException {
        folder.remove(name);
    }

    @Override
    public void sync() throws IOException {
        folder.sync();
    }
}
