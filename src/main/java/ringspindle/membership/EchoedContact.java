package ringspindle.membership;

import java.util.ArrayDeque;

/**
 * When a peer is proven to have lived: at the time when the newest own heartbeat that it echoed was sent, or later. A
 * heartbeat that was held up on its way proves nothing about the time of its arrival.
 */
final class EchoedContact {
    /** Heartbeats on their way whose sending times are kept, by connection. */
    static final int IN_FLIGHT_MAX = 64;

    private record Sent(long number, long atMs) {}

    private final ArrayDeque<Sent> inFlight = new ArrayDeque<>();
    private long contactMs = SessionTable.NEVER_MS;

    /** A heartbeat of that number goes out. */
    void sent(long number, long nowMs) {
        if (inFlight.size() == IN_FLIGHT_MAX) {
            inFlight.poll();
        }
        inFlight.add(new Sent(number, nowMs));
    }

    /** The peer says that the heartbeat of that number was the last one it got. */
    void echoed(long number) {
        if (inFlight.isEmpty() || number > inFlight.peekLast().number()) {
            // meant for an earlier process of this node
            return;
        }
        while (!inFlight.isEmpty() && inFlight.peek().number() <= number) {
            Sent sent = inFlight.poll();
            if (sent.number() == number) {
                contactMs = sent.atMs();
            }
        }
    }

    /** When the newest echoed heartbeat was sent; {@link SessionTable#NEVER_MS} if none was echoed. */
    long contactMs() {
        return contactMs;
    }
}
