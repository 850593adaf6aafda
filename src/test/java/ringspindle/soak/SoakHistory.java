package ringspindle.soak;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What clients, engines and the operator of a soak saw at their sockets. Thread safe; judged once all is over. */
final class SoakHistory {
    /** The connection broke, or there was none. */
    static final int NO_STATUS = -1;

    /** A client was told where to go. */
    record Led(String clientRegion, String host, List<String> addresses) {}

    /**
     * A client's attempt has ended.
     *
     * @param mutating whether it may run once at most
     * @param endedNs when it ended, by the clock of {@link System#nanoTime}
     * @param status {@link #NO_STATUS} if the connection broke
     * @param answeredBy the id of the attempt that the engine says it answers, empty if no engine answered
     * @param wholeBody whether the body is the engine's whole body
     */
    record Attempt(
            String id,
            String host,
            boolean mutating,
            String node,
            long endedNs,
            int status,
            String answeredBy,
            boolean wholeBody) {}

    /** An engine begins to run a request, which it got under that host with that body, and is done at that time. */
    record Run(String id, String host, String region, String body, long doneNs) {}

    /** A node was told to end, having run until then. */
    record Stopping(String frontend, long atNs) {}

    private final Queue<Led> led = new ConcurrentLinkedQueue<>();
    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Queue<Stopping> stops = new ConcurrentLinkedQueue<>();
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();

    void add(Led event) {
        led.add(event);
    }

    void add(Attempt event) {
        attempts.add(event);
    }

    void add(Run event) {
        runs.add(event);
    }

    void add(Stopping event) {
        stops.add(event);
    }

    /** Something that must not happen was seen while it happened. */
    void fail(String what) {
        failures.add(what);
    }

    List<Led> led() {
        return List.copyOf(led);
    }

    List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    List<Run> runs() {
        return List.copyOf(runs);
    }

    List<Stopping> stops() {
        return List.copyOf(stops);
    }

    List<String> failures() {
        return List.copyOf(failures);
    }
}
