package ringspindle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** A folder of the file system. */
final class NioFolder implements StorageFolder {
    private final Path path;

    NioFolder(Path path) {
        this.path = path;
    }

    @Override
    public void create() throws IOException {
        if (Files.isDirectory(path)) {
            return;
        }
        Files.createDirectories(path);
        syncFolder(path.toAbsolutePath().getParent());
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(path)) {
            return files.map(file -> file.getFileName().toString()).toList();
        }
    }

    @Override
    public Optional<byte[]> read(String name) throws IOException {
        try {
            return Optional.of(Files.readAllBytes(path.resolve(name)));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
    }

    @Override
    public StorageFile open(String name) throws IOException {
        return new NioFile(FileChannel.open(path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE));
    }

    @Override
    public void remove(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    @Override
    public void sync() throws IOException {
        syncFolder(path);
    }

    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private record NioFile(FileChannel channel) implements StorageFile {
        @Override
        public void write(long offset, ByteBuffer bytes) throws IOException {
            long next = offset;
            while (bytes.hasRemaining()) {
                next += channel.write(bytes, next);
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void sync() throws IOException {
            // fdatasync: it covers the size too, but not the times
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
