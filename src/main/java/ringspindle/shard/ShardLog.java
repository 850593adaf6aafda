package ringspindle.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import ringspindle.protocol.ShardMessage.LogEntry;

/**
 * The log of one replica in memory: entries by rising numbers, committed ones first. Committed entries that nobody needs any
 * more may be dropped, so that numbers have gaps. Not thread safe.
 */
final class ShardLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private long committed;

    /** The number of the last entry, 0 without one. */
    long lastSeq() {
        return entries.isEmpty() ? 0 : entries.get(entries.size() - 1).seq();
    }

    /** Up to which entry all is known to be committed. */
    long committed() {
        return committed;
    }

    /** The epoch of the entry with that number, -1 if there is none. */
    long epochAt(long seq) {
        int index = indexAfter(seq) - 1;
        boolean there = index >= 0 && entries.get(index).seq() == seq;
        return there ? entries.get(index).epoch() : -1;
    }

    /** The last entry up to that number, null if there is none. */
    LogEntry floor(long seq) {
        int index = indexAfter(seq) - 1;
        return index < 0 ? null : entries.get(index);
    }

    /** Entries behind that number, oldest first: one at least if there is one, and no more than so many or so long. */
    List<LogEntry> after(long seq, int countMax, long bytesMax) {
        int from = indexAfter(seq);
        int to = from;
        long bytes = 0;
        while (to < entries.size() && to - from < countMax && (to == from || bytes < bytesMax)) {
            bytes += entries.get(to).record().length;
            to++;
        }
        return List.copyOf(entries.subList(from, to));
    }

    /** Appends an entry in place of those with its number or a higher one; none of these may be committed. */
    void append(LogEntry entry) {
        if (entry.seq() <= committed) {
            throw new IllegalArgumentException("entry " + entry.seq() + " is committed");
        }
        entries.subList(indexAfter(entry.seq() - 1), entries.size()).clear();
        entries.add(entry);
    }

    /** Notes that all up to that number is committed; returns what has become so, oldest first. */
    List<LogEntry> commit(long seq) {
        if (seq <= committed) {
            return List.of();
        }
        List<LogEntry> fresh = List.copyOf(entries.subList(indexAfter(committed), indexAfter(seq)));
        committed = seq;
        return fresh;
    }

    /** Drops committed entries, but never the last one: it says how far the log has come. */
    void drop(Predicate<LogEntry> unneeded) {
        long last = lastSeq();
        entries.removeIf(entry -> entry.seq() <= committed && entry.seq() != last && unneeded.test(entry));
    }

    /** Bytes of all records that are held. */
    long bytes() {
        return entries.stream().mapToLong(entry -> entry.record().length).sum();
    }

    /** Index of the first entry behind that number. */
    private int indexAfter(long seq) {
        int low = 0;
        int high = entries.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (entries.get(middle).seq() <= seq) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
