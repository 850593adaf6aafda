package ringspindle.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Requests that wait for room, by rank; the rank counts less the longer one waits, so that none starves. */
final class WaitQueue {
    /** Ours: one rank is worth so much waiting. */
    private static final int RANK_MS = 250;

    private record Slot(ProxiedRequest flow, long key, long order) {}

    private final PriorityQueue<Slot> slots =
            new PriorityQueue<>(Comparator.comparingLong(Slot::key).thenComparingLong(Slot::order));
    private long order;

    synchronized void add(ProxiedRequest f, long nowMs) {
        slots.add(new Slot(f, f.sinceMs() + (long) f.rank() * RANK_MS, order++));
    }

    synchronized boolean isEmpty() {
        return slots.isEmpty();
    }

    /** All that wait, in the order in which they may try. */
    synchronized List<ProxiedRequest> drain() {
        List<ProxiedRequest> out = new ArrayList<>(slots.size());
        while (!slots.isEmpty()) {
            out.add(slots.poll().flow());
        }
        return out;
    }
}
