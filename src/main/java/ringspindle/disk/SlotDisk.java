package ringspindle.disk;

import java.io.*;
import java.nio.*;
import java.nio.channels.*;
import java.nio.file.*;
import java.util.*;
import java.util.zip.*;
import ringspindle.wire.*;

import static java.nio.file.StandardOpenOption.*;

/**
 * Slot files {@code slot-0} and {@code slot-1}: generation, then records. The log of generation g is {@code log-g}.
 * Every record: length, CRC32C of the rest, generation, SBE bytes. A torn tail ends the log there.
 */
final class SlotDisk implements Disk {
    private static final int HEAD = 4 + 4 + 8;
    private final Path folder;
    private long generation;
    private FileChannel log;
    private long logEnd;

    SlotDisk(Path folder) {
        this.folder = folder;
    }

    @Override
    public List<Msg> load() throws IOException {
        Files.createDirectories(folder);
        List<Msg> best = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            long[] gen = {-1};
            List<Msg> found = read(folder.resolve("slot-" + i), gen, true);
            if (found != null && gen[0] > generation) {
                generation = gen[0];
                best = found;
            }
        }
        Path file = logFile(generation);
        if (Files.exists(file)) {
            long[] gen = {generation};
            List<Msg> tail = read(file, gen, false);
            if (tail != null) {
                best.addAll(tail);
            }
        }
        openLog();
        return best;
    }

    private Path logFile(long gen) {
        return folder.resolve("log-" + gen);
    }

    /** Reads records; a slot must be whole (it closes with an empty record), a log may end torn. */
    private List<Msg> read(Path file, long[] gen, boolean slot) throws IOException {
        if (!Files.exists(file)) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(Files.readAllBytes(file));
        List<Msg> out = new ArrayList<>();
        boolean whole = false;
        if (!slot) {
            logEnd = 0;
        }
        while (b.remaining() >= HEAD) {
            int start = b.position();
            int length = b.getInt();
            int crc = b.getInt();
            if (length < 0 || b.remaining() < 8 + length) {
                break;
            }
            CRC32C c = new CRC32C();
            c.update(b.array(), b.position(), 8 + length);
            if ((int) c.getValue() != crc) {
                break;
            }
            long g = b.getLong();
            if (slot && start == 0) {
                gen[0] = g;
            }
            if (g != gen[0]) {
                break;
            }
            if (length == 0) {
                whole = true;
                break;
            }
            byte[] body = new byte[length];
            b.get(body);
            out.add(Codec.decode(body));
            if (!slot) {
                logEnd = b.position();
            }
        }
        return slot && !whole ? null : out;
    }

    private ByteBuffer frame(byte[] body, long gen) {
        ByteBuffer b = ByteBuffer.allocate(HEAD + body.length);
        b.position(8);
        b.putLong(gen).put(body);
        CRC32C c = new CRC32C();
        c.update(b.array(), 8, 8 + body.length);
        b.putInt(0, body.length).putInt(4, (int) c.getValue());
        return b.flip();
    }

    private void openLog() throws IOException {
        if (log != null) {
            log.close();
        }
        boolean fresh = !Files.exists(logFile(generation));
        log = FileChannel.open(logFile(generation), CREATE, WRITE);
        log.truncate(logEnd);
        if (fresh) {
            log.force(true);
            syncFolder();
        }
    }

    private void syncFolder() throws IOException {
        try (FileChannel f = FileChannel.open(folder, READ)) {
            f.force(true);
        }
    }

    @Override
    public void append(List<Msg> records) throws IOException {
        long at = logEnd;
        for (Msg m : records) {
            ByteBuffer b = frame(Codec.encode(m), generation);
            int n = b.remaining();
            while (b.hasRemaining()) {
                log.write(b, at + (n - b.remaining()));
            }
            at += n;
        }
        log.force(false);
        logEnd = at;
    }

    @Override
    public void image(List<Msg> records) throws IOException {
        long next = generation + 1;
        Path slot = folder.resolve("slot-" + (next & 1));
        boolean fresh = !Files.exists(slot);
        try (FileChannel f = FileChannel.open(slot, CREATE, WRITE, TRUNCATE_EXISTING)) {
            for (Msg m : records) {
                writeAll(f, frame(Codec.encode(m), next));
            }
            writeAll(f, frame(new byte[0], next));
            f.force(true);
        }
        if (fresh) {
            syncFolder();
        }
        Path old = logFile(generation);
        generation = next;
        logEnd = 0;
        openLog();
        Files.deleteIfExists(old);
        syncFolder();
    }

    private static void writeAll(FileChannel f, ByteBuffer b) throws IOException {
        while (b.hasRemaining()) {
            f.write(b);
        }
    }

    @Override
    public long logBytes() {
        return logEnd;
    }
}
