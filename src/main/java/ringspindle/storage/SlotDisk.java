package ringspindle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.storage.RecordFormat.Records;
import ringspindle.storage.StorageFolder.StorageFile;
import ringspindle.storage.UnreadableStorageException.Reason;

/**
 * Slot files {@code slot-0} and {@code slot-1} hold a snapshot each, of generations g and g-1; {@code log-g} holds what was
 * appended since. The layout is that of {@link RecordFormat}. Three rules make it safe against a loss of power:
 * <ul>
 * <li>a log is created only when the slot of its generation is synced, name included, so a log newer than every whole
 * slot says that a slot was lost;
 * <li>a file is cut and synced before it is written again, so nothing of an earlier attempt stands behind newer records;
 * <li>what {@link #load} returns is synced first, since a process that died may have left it unsynced.
 * </ul>
 */
final class SlotDisk implements Disk {
    private static final String SLOT_PREFIX = "slot-";
    private static final String LOG_PREFIX = "log-";
    private static final Pattern LOG_NAME = Pattern.compile(LOG_PREFIX + "(\\d{1,18})");
    private static final Records EMPTY = new Records(0, List.of(), 0, false);

    private final StorageFolder folder;
    private final Predicate<Message> known;
    private long generation;
    /** Null if it has to be opened, and cut to {@link #logEnd}, before the next append. */
    private StorageFile log;

    private long logEnd;
    /** A snapshot failed: the other slot may or may not be whole, and would hide what is appended now. */
    private boolean otherSlotInDoubt;

    /** {@code known} is false for a record that must not be read, or throws on it. */
    SlotDisk(StorageFolder folder, Predicate<Message> known) {
        this.folder = folder;
        this.known = known;
    }

    @Override
    public List<Message> load() throws IOException {
        folder.create();
        Records slot = newestSlot();
        generation = slot.generation();
        refuseLogsAbove(generation);
        Records tail = folder.read(logName(generation))
                .map(RecordFormat::parse)
                .filter(records -> records.generation() == generation)
                .orElse(EMPTY);
        if (tail.closed()) {
            throw new UnreadableStorageException(Reason.UNKNOWN_RECORD, logName(generation), null);
        }
        List<Message> found = new ArrayList<>(decode(slotName(generation), slot.bodies()));
        found.addAll(decode(logName(generation), tail.bodies()));
        logEnd = tail.size();
        syncSlot();
        openLog();
        removeLogsBelow(generation);
        return found;
    }

    private Records newestSlot() throws IOException {
        Records newest = EMPTY;
        for (long parity = 0; parity < 2; parity++) {
            Optional<Records> slot =
                    folder.read(slotName(parity)).map(RecordFormat::parse).filter(Records::closed);
            if (slot.isPresent() && slot.get().generation() > newest.generation()) {
                newest = slot.get();
            }
        }
        return newest;
    }

    private List<Message> decode(String file, List<byte[]> bodies) throws UnreadableStorageException {
        List<Message> records = new ArrayList<>();
        for (byte[] body : bodies) {
            records.add(decode(file, body));
        }
        return records;
    }

    private Message decode(String file, byte[] body) throws UnreadableStorageException {
        try {
            Message record = Codec.decode(body);
            if (!known.test(record)) {
                throw new IllegalArgumentException(
                        "unknown record " + record.getClass().getSimpleName());
            }
            return record;
        } catch (RuntimeException e) {
            throw new UnreadableStorageException(Reason.UNKNOWN_RECORD, file, e);
        }
    }

    private static String logName(long generation) {
        return LOG_PREFIX + generation;
    }

    private static String slotName(long generation) {
        return SLOT_PREFIX + (generation & 1);
    }

    /** Generations of the logs in the folder; other names are none of ours. */
    private List<Long> logGenerations() throws IOException {
        return folder.list().stream()
                .map(LOG_NAME::matcher)
                .filter(Matcher::matches)
                .map(log -> Long.valueOf(log.group(1)))
                .toList();
    }

    private void refuseLogsAbove(long newestSlot) throws IOException {
        for (long found : logGenerations()) {
            if (found > newestSlot) {
                throw new UnreadableStorageException(Reason.LOST_SLOT, logName(found), null);
            }
        }
    }

    /** Their names may come back with a loss of power, which does no harm: {@link #load} removes them again. */
    private void removeLogsBelow(long current) throws IOException {
        for (long found : logGenerations()) {
            if (found < current) {
                folder.remove(logName(found));
            }
        }
    }

    private void syncSlot() throws IOException {
        if (generation == 0) {
            return;
        }
        try (StorageFile slot = folder.open(slotName(generation))) {
            slot.sync();
        }
        folder.sync();
    }

    private void openLog() throws IOException {
        StorageFile file = folder.open(logName(generation));
        try {
            file.truncate(logEnd);
            file.sync();
            folder.sync();
        } catch (IOException e) {
            closeAfter(e, file);
            throw e;
        }
        log = file;
    }

    private static void closeAfter(IOException failure, StorageFile file) {
        try {
            file.close();
        } catch (IOException e) {
            failure.addSuppressed(e);
        }
    }

    @Override
    public void append(List<Message> records) throws IOException {
        List<ByteBuffer> frames = frames(records, generation);
        if (otherSlotInDoubt) {
            emptyOtherSlot();
        }
        if (log == null) {
            openLog();
        }
        try {
            long end = writeAll(log, frames, logEnd);
            log.sync();
            logEnd = end;
        } catch (IOException e) {
            StorageFile failed = log;
            log = null;
            closeAfter(e, failed);
            throw e;
        }
    }

    private static List<ByteBuffer> frames(List<Message> records, long generation) {
        return records.stream()
                .map(record -> RecordFormat.frame(Codec.encode(record), generation))
                .toList();
    }

    /** Returns the offset behind what was written. */
    private static long writeAll(StorageFile file, List<ByteBuffer> frames, long offset) throws IOException {
        long next = offset;
        for (ByteBuffer frame : frames) {
            int length = frame.remaining();
            file.write(next, frame);
            next += length;
        }
        return next;
    }

    private void emptyOtherSlot() throws IOException {
        try (StorageFile slot = folder.open(slotName(generation + 1))) {
            slot.truncate(0);
            slot.sync();
        }
        otherSlotInDoubt = false;
    }

    @Override
    public void snapshot(List<Message> records) throws IOException {
        long next = generation + 1;
        List<ByteBuffer> frames = new ArrayList<>(frames(records, next));
        frames.add(RecordFormat.end(next));
        emptyOtherSlot();
        otherSlotInDoubt = true;
        try (StorageFile slot = folder.open(slotName(next))) {
            writeAll(slot, frames, 0);
            slot.sync();
        }
        folder.sync();
        otherSlotInDoubt = false;
        startLog(next);
    }

    /** The slot of this generation is synced: its log takes the place of the older one. */
    private void startLog(long next) throws IOException {
        StorageFile old = log;
        log = null;
        generation = next;
        logEnd = 0;
        if (old != null) {
            old.close();
        }
        openLog();
        removeLogsBelow(next);
    }

    @Override
    public long logBytes() {
        return logEnd;
    }
}
