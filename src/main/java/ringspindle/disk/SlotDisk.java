package ringspindle.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ringspindle.disk.RecordFormat.Records;
import ringspindle.disk.StorageFolder.StorageFile;
import ringspindle.wire.Codec;
import ringspindle.wire.Msg;

/**
 * Slot files {@code slot-0} and {@code slot-1}: generation, then records. The log of generation g is {@code log-g}.
 * A torn tail ends the log there. The layout is that of {@link RecordFormat}.
 */
final class SlotDisk implements Disk {
    private final StorageFolder folder;
    private long generation;
    private StorageFile log;
    private long logEnd;

    SlotDisk(StorageFolder folder) {
        this.folder = folder;
    }

    @Override
    public List<Msg> load() throws IOException {
        folder.create();
        List<byte[]> best = new ArrayList<>();
        for (long parity = 0; parity < 2; parity++) {
            Optional<Records> slot = folder.read(slotName(parity)).map(RecordFormat::parse).filter(Records::closed);
            if (slot.isPresent() && slot.get().generation() > generation) {
                generation = slot.get().generation();
                best = slot.get().bodies();
            }
        }
        Optional<Records> tail = folder.read(logName(generation)).map(RecordFormat::parse);
        if (tail.isPresent() && tail.get().generation() == generation) {
            best.addAll(tail.get().bodies());
            logEnd = tail.get().size();
        }
        openLog();
        return best.stream().map(Codec::decode).toList();
    }

    private static String logName(long generation) {
        return "log-" + generation;
    }

    private static String slotName(long generation) {
        return "slot-" + (generation & 1);
    }

    private void openLog() throws IOException {
        if (log != null) {
            log.close();
        }
        boolean fresh = folder.read(logName(generation)).isEmpty();
        log = folder.open(logName(generation));
        log.truncate(logEnd);
        if (fresh) {
            log.sync();
            folder.sync();
        }
    }

    @Override
    public void append(List<Msg> records) throws IOException {
        long at = logEnd;
        for (Msg record : records) {
            ByteBuffer frame = RecordFormat.frame(Codec.encode(record), generation);
            int length = frame.remaining();
            log.write(at, frame);
            at += length;
        }
        log.sync();
        logEnd = at;
    }

    @Override
    public void image(List<Msg> records) throws IOException {
        long next = generation + 1;
        boolean fresh = folder.read(slotName(next)).isEmpty();
        try (StorageFile slot = folder.open(slotName(next))) {
            slot.truncate(0);
            long at = 0;
            for (Msg record : records) {
                ByteBuffer frame = RecordFormat.frame(Codec.encode(record), next);
                int length = frame.remaining();
                slot.write(at, frame);
                at += length;
            }
            slot.write(at, RecordFormat.end(next));
            slot.sync();
        }
        if (fresh) {
            folder.sync();
        }
        String old = logName(generation);
        generation = next;
        logEnd = 0;
        openLog();
        folder.remove(old);
        folder.sync();
    }

    @Override
    public long logBytes() {
        return logEnd;
    }
}
