package ringspindle.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Configuration orders and reads with their invocation and response, and the check that they are linearizable.
 *
 * <p>Each order names the revision it replaces (its base), and revisions are unique. So an order that took effect fixes
 * those before it, and all that took effect form one path from revision 0: the order of writes is known and need not be
 * searched for. What is left is to place points in time. Along the path each write's point is the earliest allowed: after
 * its own invocation, after the previous write's point, and after the invocations of all reads of the previous revision. A
 * read's point is the later of its own invocation and its write's point. As each point is the least possible, the history
 * is linearizable exactly if no point lies after its response. The check is O(n log n).
 */
final class ModelHistory {
    static final long OPEN = Long.MAX_VALUE;

    /** An order, over all attempts to send it. */
    static final class Write {
        final long base;
        final long revision;
        final String body;
        final long invoked;
        long acknowledged = OPEN;
        boolean refused;

        Write(long base, long revision, String body, long invoked) {
            this.base = base;
            this.revision = revision;
            this.body = body;
            this.invoked = invoked;
        }

        @Override
        public String toString() {
            return revision + " on " + base + " [" + invoked + ", " + (acknowledged == OPEN ? "-" : acknowledged) + "]";
        }
    }

    /** A read that was answered. */
    record Read(long revision, long invoked, long answered) {}

    private final Map<Long, Write> writes = new TreeMap<>();
    private final List<Read> reads = new ArrayList<>();
    private long clock;

    /** Logical time: every invocation and response has its own. */
    long tick() {
        return ++clock;
    }

    Write invoke(long base, long revision, String body) {
        Write write = new Write(base, revision, body, tick());
        writes.put(revision, write);
        return write;
    }

    void acknowledge(Write write) {
        write.acknowledged = Math.min(write.acknowledged, tick());
    }

    void refuse(Write write) {
        write.refused = true;
    }

    void answerRead(long revision, long invoked) {
        reads.add(new Read(revision, invoked, tick()));
    }

    Write write(long revision) {
        return writes.get(revision);
    }

    int acknowledged() {
        return (int)
                writes.values().stream().filter(w -> w.acknowledged != OPEN).count();
    }

    int reads() {
        return reads.size();
    }

    /** True if an order on top of that revision, or on top of a later one, was acknowledged before that moment. */
    boolean olderThanAcknowledged(long revision, long moment) {
        for (Write write : writes.values()) {
            if (write.acknowledged < moment && write.revision > revision) {
                // revisions rise along the path of orders that take effect
                return true;
            }
        }
        return false;
    }

    /** Names what is wrong with the history, or returns an empty list. */
    List<ModelViolation> check(long atMs) {
        List<ModelViolation> out = new ArrayList<>();
        Map<Long, Write> effective = effective(out, atMs);
        Map<Long, Write> successor = new HashMap<>();
        for (Write write : effective.values()) {
            Write other = successor.put(write.base, write);
            if (other != null) {
                out.add(new ModelViolation(ModelViolation.Kind.TWO_WINNERS, other + " and " + write, atMs));
            }
            if (write.refused) {
                out.add(new ModelViolation(
                        ModelViolation.Kind.REFUSED_AGAIN, write + " took effect and was refused", atMs));
            }
        }
        if (out.isEmpty()) {
            place(successor, out, atMs);
        }
        return out;
    }

    /** Orders that must have taken effect: acknowledged or read, and all that these rest on. */
    private Map<Long, Write> effective(List<ModelViolation> out, long atMs) {
        Map<Long, Write> effective = new TreeMap<>();
        List<Long> open = new ArrayList<>();
        writes.values().stream().filter(w -> w.acknowledged != OPEN).forEach(w -> open.add(w.revision));
        reads.forEach(r -> open.add(r.revision()));
        while (!open.isEmpty()) {
            long revision = open.remove(open.size() - 1);
            if (revision == 0 || effective.containsKey(revision)) {
                continue;
            }
            Write write = writes.get(revision);
            if (write == null) {
                out.add(new ModelViolation(
                        ModelViolation.Kind.WRONG_BODY, "revision " + revision + " was never sent", atMs));
                continue;
            }
            effective.put(revision, write);
            open.add(write.base);
        }
        return effective;
    }

    private void place(Map<Long, Write> successor, List<ModelViolation> out, long atMs) {
        Map<Long, List<Read>> byRevision = new HashMap<>();
        reads.forEach(r ->
                byRevision.computeIfAbsent(r.revision(), k -> new ArrayList<>()).add(r));
        long point = 0;
        long revision = 0;
        while (true) {
            long next = point;
            for (Read read : byRevision.getOrDefault(revision, List.of())) {
                long readPoint = Math.max(point, read.invoked());
                if (readPoint > read.answered()) {
                    out.add(new ModelViolation(
                            ModelViolation.Kind.NOT_LINEARIZABLE, read + " answers before its order was sent", atMs));
                }
                next = Math.max(next, readPoint);
            }
            Write write = successor.get(revision);
            if (write == null) {
                return;
            }
            point = Math.max(next, write.invoked);
            if (point > write.acknowledged) {
                out.add(new ModelViolation(
                        ModelViolation.Kind.NOT_LINEARIZABLE,
                        write + " was acknowledged, then an older revision was read or taken",
                        atMs));
            }
            revision = write.revision;
        }
    }
}
