package ringspindle.counter;

import java.util.PriorityQueue;

/** Simulated time: actions in the order of their times, and of their coming among equal ones. */
final class EventQueue {
    private record Event(double atMs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;
    private double nowMs;

    void at(double inMs, Runnable action) {
        events.add(new Event(nowMs + inMs, order++, action));
    }

    /** Runs all that is due within so long. */
    void run(double forMs) {
        double endMs = nowMs + forMs;
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = endMs;
    }

    double nowMs() {
        return nowMs;
    }
}
