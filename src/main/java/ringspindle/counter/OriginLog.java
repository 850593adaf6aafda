package ringspindle.counter;

import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message.CounterAdd;

/**
 * The increments that one store accepted, as held here: without gaps from the first that is not folded to the last that is
 * on this node's disk.
 */
final class OriginLog {
    private final List<CounterAdd> adds = new ArrayList<>();
    private long folded;
    private long queued;
    /** The last increment that was held when {@link #markAge} was called before last: it is no longer on its way to others. */
    private long aged;

    private long marked;
    /** Increments up to here were held by all members when retention was last looked at. */
    private long stable;

    private long stableSinceMs;

    /** A log whose increments up to that number are folded. */
    OriginLog(long folded) {
        this.folded = folded;
        queued = folded;
    }

    /** The last increment that is folded, 0 for none. */
    long folded() {
        return folded;
    }

    /** The last increment that is on disk, 0 for none. */
    long last() {
        return folded + adds.size();
    }

    /** The last increment that is on disk or on its way to it. */
    long queued() {
        return queued;
    }

    /** The next increment is on its way to the disk. */
    void queue(long sequence) {
        queued = sequence;
    }

    /** The next increment is on disk. */
    void append(CounterAdd add) {
        adds.add(add);
        queued = Math.max(queued, add.sequence());
    }

    /** Up to {@code most} increments behind that number, none if the next of them is folded. */
    List<CounterAdd> after(long sequence, int most) {
        if (sequence < folded || sequence >= last()) {
            return List.of();
        }
        int from = (int) (sequence - folded);
        return List.copyOf(adds.subList(from, Math.min(adds.size(), from + most)));
    }

    /** Called at regular intervals: what was held at the call before is {@link #aged} from now on. */
    void markAge() {
        aged = marked;
        marked = last();
    }

    /** The last increment that was held for longer than the interval of {@link #markAge}. */
    long aged() {
        return aged;
    }

    /**
     * All members hold the increments up to that number. Returns those that were so for the whole retention and are folded
     * from now on, in order.
     */
    List<CounterAdd> retain(long heldByAll, long nowMs, long retentionMs) {
        List<CounterAdd> expired = List.of();
        if (stable <= folded || nowMs - stableSinceMs >= retentionMs) {
            expired = dropUpTo(stable);
            stable = heldByAll;
            stableSinceMs = nowMs;
        }
        return expired;
    }

    private List<CounterAdd> dropUpTo(long sequence) {
        int count = (int) Math.max(0, Math.min(sequence, last()) - folded);
        List<CounterAdd> dropped = List.copyOf(adds.subList(0, count));
        adds.subList(0, count).clear();
        folded += count;
        return dropped;
    }
}
