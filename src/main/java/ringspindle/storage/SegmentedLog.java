package ringspindle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message;
import ringspindle.storage.RecordFormat.Records;
import ringspindle.storage.StorageFolder.StorageFile;
import ringspindle.storage.UnreadableStorageException.Reason;

/**
 * Records that outlast a loss of power, in numbered files that are appended to one after the other; whole files of which nothing
 * is needed any more are removed, oldest first. Not thread safe.
 *
 * <p>What was appended and synced is found by a load. Of an append that failed or was cut off a load finds the first records, or
 * none. Each file begins with records that stand for all before it, which the owner gives.
 */
public final class SegmentedLog {
    /** A file that is longer than this is followed by another one, in bytes. */
    private static final long SEGMENT_BYTES = 4 << 20;

    private static final String PREFIX = "segment-";
    private static final Pattern NAME = Pattern.compile(PREFIX + "([1-9][0-9]{0,17})");

    /** A record that a load found, and the number of its file. */
    public record Found(long segment, Message record) {}

    private final StorageFolder folder;
    /** Lengths of the files by their numbers; the last one is appended to. */
    private final TreeMap<Long, Long> segments = new TreeMap<>();

    /** The last file, null while none is open or after a failure. */
    private StorageFile open;

    /** A log in that folder; {@link #load} comes before all else. */
    public SegmentedLog(StorageFolder folder) {
        this.folder = folder;
    }

    /**
     * What was found, oldest first; a torn end is cut off. Throws {@link UnreadableStorageException}, with the files as they
     * were, if a record cannot be read by this program or one in the middle is missing.
     */
    public List<Found> load() throws IOException {
        folder.create();
        for (String name : folder.list()) {
            Matcher matcher = NAME.matcher(name);
            if (matcher.matches()) {
                segments.put(Long.valueOf(matcher.group(1)), 0L);
            }
        }
        List<Found> found = new ArrayList<>();
        for (long number : List.copyOf(segments.keySet())) {
            found.addAll(load(number));
        }
        if (!segments.isEmpty()) {
            openLast();
        }
        return found;
    }

    private List<Found> load(long number) throws IOException {
        Optional<byte[]> bytes = folder.read(name(number));
        Records records = RecordFormat.parse(bytes.orElse(new byte[0]));
        boolean whole = bytes.isPresent() && records.size() == bytes.get().length;
        if (!whole && number != segments.lastKey()) {
            // a file is followed by another one only once it is synced
            throw new UnreadableStorageException(Reason.LOST_SLOT, name(number), null);
        }
        List<Found> found = new ArrayList<>();
        for (byte[] body : records.bodies()) {
            found.add(new Found(number, decode(number, body)));
        }
        segments.put(number, records.size());
        return found;
    }

    private static Message decode(long number, byte[] body) throws UnreadableStorageException {
        try {
            return Codec.decode(body);
        } catch (FrameException unknown) {
            throw new UnreadableStorageException(Reason.UNKNOWN_RECORD, name(number), unknown);
        }
    }

    private static String name(long number) {
        return PREFIX + number;
    }

    private void openLast() throws IOException {
        StorageFile file = folder.open(name(segments.lastKey()));
        try {
            file.truncate(segments.lastEntry().getValue());
            file.sync();
            folder.sync();
        } catch (IOException refused) {
            closeAfter(refused, file);
            throw refused;
        }
        open = file;
    }

    private static void closeAfter(IOException failure, StorageFile file) {
        try {
            file.close();
        } catch (IOException secondary) {
            failure.addSuppressed(secondary);
        }
    }

    /** True if the next append should begin a new file. */
    public boolean isSegmentFull() {
        return segments.isEmpty() || segments.lastEntry().getValue() >= SEGMENT_BYTES;
    }

    /** Begins a new file with records that stand for all that is not about what older files hold. */
    public void startSegment(List<Message> head) throws IOException {
        long next = segments.isEmpty() ? 1 : segments.lastKey() + 1;
        if (open != null) {
            open.close();
            open = null;
        }
        segments.put(next, 0L);
        try {
            openLast();
            write(head);
        } catch (IOException refused) {
            // the file before it is appended to again
            segments.remove(next);
            throw refused;
        }
    }

    /** Appends the records and syncs them; returns the number of their file. */
    public long append(List<Message> records) throws IOException {
        if (open == null) {
            openLast();
        }
        write(records);
        return segments.lastKey();
    }

    private void write(List<Message> records) throws IOException {
        long number = segments.lastKey();
        long end = segments.get(number);
        try {
            for (Message record : records) {
                ByteBuffer frame = RecordFormat.frame(Codec.encode(record), number);
                int length = frame.remaining();
                open.write(end, frame);
                end += length;
            }
            open.sync();
            segments.put(number, end);
        } catch (IOException refused) {
            StorageFile failed = open;
            open = null;
            closeAfter(refused, failed);
            throw refused;
        }
    }

    /** Removes the files before that number, but never the last one. */
    public void removeBelow(long number) throws IOException {
        boolean removed = false;
        while (segments.size() > 1 && segments.firstKey() < number) {
            folder.remove(name(segments.firstKey()));
            segments.pollFirstEntry();
            removed = true;
        }
        if (removed) {
            folder.sync();
        }
    }

    /** Bytes of all files. */
    public long bytes() {
        long bytes = 0;
        for (Map.Entry<Long, Long> segment : segments.entrySet()) {
            bytes += segment.getValue();
        }
        return bytes;
    }
}
