package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.zip.CRC32C;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.News;

/**
 * Caches the known engines in a file, as a hint for the time right after a restart when no engine has sent a heartbeat
 * yet. The cache is best effort: it is not synced, a corrupt file is treated as missing, and heartbeats replace its
 * contents. The file holds a CRC32C checksum followed by an encoded {@link News}.
 */
final class EngineCacheFile {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_FILE_BYTES = 4 << 20;
    private static final String TEMP_FILE_NAME = "engines.next";

    private final Path file;
    private final Executor pool;
    private final AtomicBoolean writeInProgress = new AtomicBoolean();
    /** Ids of the engines in the last write; accessed only by the caller of {@link #store}. */
    private Set<String> cachedIds = Set.of();

    EngineCacheFile(Path file, Executor pool) {
        this.file = file;
        this.pool = pool;
    }

    /** Returns the engines in the file, empty if the file is missing or unreadable. */
    List<Fact> load() {
        try {
            if (!Files.exists(file) || Files.size(file) > MAX_FILE_BYTES) {
                return List.of();
            }
            ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
            int checksum = content.getInt();
            byte[] body = new byte[content.remaining()];
            content.get(body);
            if (checksum(body) != checksum || !(Codec.decode(body) instanceof News news)) {
                return List.of();
            }
            return news.items().stream().allMatch(EngineCacheFile::isReadableEngine) ? news.items() : List.of();
        } catch (IOException | RuntimeException failure) {
            LOG.atInfo().log("cannot load the engine cache: %s", failure);
            return List.of();
        }
    }

    /** Throws if the value cannot be decoded, for example because another version wrote it. */
    private static boolean isReadableEngine(Fact fact) {
        return fact.kind() == FactKind.ENGINE && Codec.decode(fact.value()) instanceof Engine;
    }

    private static int checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return (int) crc.getValue();
    }

    /**
     * Writes the file if the set of engines changed. Runs on the executor, so a hung disk does not block the caller.
     */
    void store(Collection<Fact> engines) {
        Set<String> ids = new TreeSet<>();
        engines.forEach(engine -> ids.add(engine.key()));
        if (ids.equals(cachedIds) || !writeInProgress.compareAndSet(false, true)) {
            return;
        }
        cachedIds = ids;
        byte[] body = Codec.encode(new News(true, new ArrayList<>(engines)));
        pool.execute(() -> {
            try {
                write(body);
            } catch (IOException failure) {
                LOG.atInfo().log("cannot write the engine cache: %s", failure);
            } finally {
                writeInProgress.set(false);
            }
        });
    }

    private void write(byte[] body) throws IOException {
        byte[] content = ByteBuffer.allocate(Integer.BYTES + body.length)
                .putInt(checksum(body))
                .put(body)
                .array();
        Path tempFile = file.resolveSibling(TEMP_FILE_NAME);
        Files.write(tempFile, content);
        Files.move(tempFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
