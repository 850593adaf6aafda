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
 * The engines as last heard, kept as a hint for the time right after a restart, when none has called yet. Nothing is
 * promised of it: it is not synced, a broken file counts as none, and beats replace it.
 */
final class EngineCacheFile {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int FILE_MAX = 4 << 20;

    private final Path file;
    private final Executor pool;
    private final AtomicBoolean writing = new AtomicBoolean();
    private Set<String> kept = Set.of();

    EngineCacheFile(Path file, Executor pool) {
        this.file = file;
        this.pool = pool;
    }

    List<Fact> load() {
        try {
            if (!Files.exists(file) || Files.size(file) > FILE_MAX) {
                return List.of();
            }
            ByteBuffer b = ByteBuffer.wrap(Files.readAllBytes(file));
            int crc = b.getInt();
            byte[] body = new byte[b.remaining()];
            b.get(body);
            CRC32C c = new CRC32C();
            c.update(body);
            if ((int) c.getValue() != crc || !(Codec.decode(body) instanceof News n)) {
                return List.of();
            }
            return n.items().stream().allMatch(EngineCacheFile::isEngine) ? n.items() : List.of();
        } catch (IOException | RuntimeException x) {
            LOG.atInfo().log("no engines kept: %s", x);
            return List.of();
        }
    }

    /** Throws if it cannot be read, such as what another version wrote. */
    private static boolean isEngine(Fact item) {
        return item.kind() == FactKind.ENGINE && Codec.decode(item.value()) instanceof Engine;
    }

    /** Writes if other engines are there than last time; a disk that hangs holds up nobody else. */
    void store(Collection<Fact> engines) {
        Set<String> now = new TreeSet<>();
        engines.forEach(i -> now.add(i.key()));
        if (now.equals(kept) || !writing.compareAndSet(false, true)) {
            return;
        }
        kept = now;
        byte[] body = Codec.encode(new News(true, new ArrayList<>(engines)));
        pool.execute(() -> {
            try {
                CRC32C c = new CRC32C();
                c.update(body);
                Path next = file.resolveSibling("engines.next");
                Files.write(
                        next,
                        ByteBuffer.allocate(4 + body.length)
                                .putInt((int) c.getValue())
                                .put(body)
                                .array());
                Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException x) {
                LOG.atInfo().log("engines not kept: %s", x);
            } finally {
                writing.set(false);
            }
        });
    }
}
