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
 * The engines as last heard, cached in a file as a hint for the time right after a restart, when none has called yet. Nothing
 * is promised of it: it is not synced, a broken file counts as none, and heartbeats replace it. The file holds a CRC32C and
 * an encoded {@link News}.
 */
final class EngineCacheFile {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int FILE_MAX = 4 << 20;
    private static final String NEXT_NAME = "engines.next";

    private final Path file;
    private final Executor pool;
    private final AtomicBoolean writing = new AtomicBoolean();
    /** The engines of the last write; used by the caller of {@link #store} alone. */
    private Set<String> cachedIds = Set.of();

    EngineCacheFile(Path file, Executor pool) {
        this.file = file;
        this.pool = pool;
    }

    /** The engines in the file, empty if there is none that can be read. */
    List<Fact> load() {
        try {
            if (!Files.exists(file) || Files.size(file) > FILE_MAX) {
                return List.of();
            }
            ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
            int checksum = content.getInt();
            byte[] body = new byte[content.remaining()];
            content.get(body);
            if (checksum(body) != checksum || !(Codec.decode(body) instanceof News news)) {
                return List.of();
            }
            return news.items().stream().allMatch(EngineCacheFile::isEngine) ? news.items() : List.of();
        } catch (IOException | RuntimeException unreadable) {
            LOG.atInfo().log("no engines kept: %s", unreadable);
            return List.of();
        }
    }

    /** Throws if it cannot be read, such as what another version wrote. */
    private static boolean isEngine(Fact fact) {
        return fact.kind() == FactKind.ENGINE && Codec.decode(fact.value()) instanceof Engine;
    }

    private static int checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return (int) crc.getValue();
    }

    /** Writes if other engines are there than last time; a disk that hangs holds up nobody else. */
    void store(Collection<Fact> engines) {
        Set<String> ids = new TreeSet<>();
        engines.forEach(engine -> ids.add(engine.key()));
        if (ids.equals(cachedIds) || !writing.compareAndSet(false, true)) {
            return;
        }
        cachedIds = ids;
        byte[] body = Codec.encode(new News(true, new ArrayList<>(engines)));
        pool.execute(() -> {
            try {
                write(body);
            } catch (IOException notWritten) {
                LOG.atInfo().log("engines not kept: %s", notWritten);
            } finally {
                writing.set(false);
            }
        });
    }

    private void write(byte[] body) throws IOException {
        byte[] content = ByteBuffer.allocate(Integer.BYTES + body.length)
                .putInt(checksum(body))
                .put(body)
                .array();
        Path next = file.resolveSibling(NEXT_NAME);
        Files.write(next, content);
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
