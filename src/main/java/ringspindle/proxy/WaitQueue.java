package ringspindle.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Queue of requests that wait for capacity, ordered by priority. Waiting time offsets priority, so that no request starves.
 * Thread safe; guarded by its own monitor.
 */
final class WaitQueue {
    /** Waiting time that offsets one step of priority. */
    private static final int PRIORITY_STEP_MS = 250;

    private record Entry(ProxiedRequest request, long effectiveArrivalMs, long sequence) {}

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(
            Comparator.comparingLong(Entry::effectiveArrivalMs).thenComparingLong(Entry::sequence));
    private long nextSequence;

    synchronized void add(ProxiedRequest request) {
        AdmittedRequest admitted = request.admitted();
        long effectiveArrivalMs = admitted.receivedMs() + (long) admitted.priority() * PRIORITY_STEP_MS;
        entries.add(new Entry(request, effectiveArrivalMs, nextSequence++));
    }

    synchronized int size() {
        return entries.size();
    }

    /** Removes all requests and returns them in the order in which they may try again. */
    synchronized List<ProxiedRequest> drain() {
        List<ProxiedRequest> requests = new ArrayList<>(entries.size());
        while (!entries.isEmpty()) {
            requests.add(entries.poll().request());
        }
        return requests;
    }
}
