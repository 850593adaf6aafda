package ringspindle.peering;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import ringspindle.protocol.Message;

/**
 * Messages that wait to be written over one connection, as frames. One connection carries everything that two nodes say to
 * each other; so that bulk of one kind does not hold up another, messages wait in lanes, and the first lane that is not empty
 * goes first. Within a lane messages keep their order. What is handed out at a time is bounded, as what is being written can
 * no longer be overtaken, and a long message goes in fragments, with others between them, once the peer is known to put
 * them together. {@link FrameDecoder} has the layout. Not thread safe.
 */
public final class FrameQueue {
    /** A frame is no longer than this, in bytes, where the peer takes fragments; no more is handed out at a time. */
    static final int FRAGMENT_BYTES = 16 << 10;
    /** Default: more than this may not wait, in bytes, but for a single message that is longer. */
    public static final int PENDING_MAX = 8 << 20;

    /** What goes before what; nothing in one lane relies on its order with another. The place is part of the layout. */
    enum Lane {
        /** Greetings and heartbeats: sessions, leases and proofs of a majority rest on them. */
        SESSION,
        /** Views, orders and their replication. */
        STATE,
        /** Facts, and reports of load. */
        FACTS,
        /** Replicated counters: after a partition, hundreds of thousands of increments. */
        COUNTERS;

        static Lane of(Message message) {
            if (message instanceof Message.Hello || message instanceof Message.Heartbeat) {
                return SESSION;
            }
            boolean ofCounters = message instanceof Message.CounterAdds
                    || message instanceof Message.CounterVector
                    || message instanceof Message.CounterSnapshot;
            boolean ofFacts = message instanceof Message.News
                    || message instanceof Message.Digest
                    || message instanceof Message.Load
                    || message instanceof Message.Report
                    || message instanceof Message.LedgerReport
                    || message instanceof Message.Outcomes;
            return ofCounters ? COUNTERS : ofFacts ? FACTS : STATE;
        }
    }

    private final Map<Lane, Deque<ByteBuffer>> lanes = new EnumMap<>(Lane.class);
    private boolean fragmenting;
    private int pendingBytes;
    private int handedOutBytes;

    /** An empty queue of whole frames. */
    public FrameQueue() {
        for (Lane lane : Lane.values()) {
            lanes.put(lane, new ArrayDeque<>());
        }
    }

    /** The peer puts fragments together. */
    public void allowFragments() {
        fragmenting = true;
    }

    /**
     * Takes in a message.
     *
     * @param body the message as bytes
     * @return false if too much waits already: the peer does not read, and its connection is to be closed
     */
    public boolean add(Message message, byte[] body) {
        boolean full = pendingBytes > 0 && pendingBytes + body.length > PENDING_MAX;
        if (full) {
            return false;
        }
        pendingBytes += body.length;
        lanes.get(Lane.of(message)).add(ByteBuffer.wrap(body));
        return true;
    }

    /** The frames to be written next, none if none wait; those handed out before count as written. */
    public List<ByteBuffer> next() {
        handedOutBytes = 0;
        List<ByteBuffer> batch = new ArrayList<>();
        for (Map.Entry<Lane, Deque<ByteBuffer>> entry : lanes.entrySet()) {
            Deque<ByteBuffer> lane = entry.getValue();
            while (!lane.isEmpty() && fits(lane.peek())) {
                ByteBuffer body = lane.peek();
                int bytes = partOf(body);
                handedOutBytes += bytes;
                batch.add(frame(entry.getKey(), body, bytes));
                if (!body.hasRemaining()) {
                    lane.remove();
                }
            }
            if (!lane.isEmpty()) {
                break;
            }
        }
        pendingBytes -= handedOutBytes;
        return batch;
    }

    private boolean fits(ByteBuffer body) {
        return handedOutBytes == 0 || handedOutBytes + partOf(body) <= FRAGMENT_BYTES;
    }

    private int partOf(ByteBuffer body) {
        return fragmenting ? Math.min(FRAGMENT_BYTES, body.remaining()) : body.remaining();
    }

    /** The next frame of a body: all of it, or a fragment. */
    private static ByteBuffer frame(Lane lane, ByteBuffer body, int bytes) {
        boolean first = body.position() == 0;
        boolean last = bytes == body.remaining();
        int header = first && last ? bytes : FrameDecoder.fragmentHeader(lane.ordinal(), last, bytes);
        ByteBuffer frame =
                ByteBuffer.allocate(FrameDecoder.HEADER_BYTES + bytes).putInt(header);
        frame.put(body.array(), body.position(), bytes);
        body.position(body.position() + bytes);
        return frame.flip();
    }

    /** Bytes that wait or were handed out last. */
    public int bytes() {
        return pendingBytes + handedOutBytes;
    }
}
