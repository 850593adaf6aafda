package ringspindle.peering;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import ringspindle.protocol.FrameException;

/**
 * Cuts the bytes of one connection into frames and puts fragments together. A frame is a header of four bytes, most
 * significant first, then a body. The header of a whole message is the body's length. That of a fragment has the highest
 * bit set; the next bit says that it is the last fragment of its message, the two after it name the lane, and the rest is the
 * length: in each lane one message at a time may be in fragments, and whole messages may come between them. The buffer grows to
 * the longest frame that came. Not thread safe.
 */
public final class FrameDecoder {
    /** Bytes of a frame before its body. */
    public static final int HEADER_BYTES = Integer.BYTES;

    private static final int INITIAL_BYTES = 8192;
    /** Room behind a long frame, for the start of the next one. */
    private static final int SLACK_BYTES = 4096;

    private static final int FRAGMENT = 1 << 31;
    private static final int LAST = 1 << 30;
    private static final int LANE_SHIFT = 28;
    private static final int LANES = 4;
    private static final int LENGTH_MASK = (1 << LANE_SHIFT) - 1;

    /** Bytes from 0 to the position have come and are not read yet. */
    private ByteBuffer received = ByteBuffer.allocate(INITIAL_BYTES);
    /** The fragments that came of a message of each lane, null while there are none. */
    private final ByteArrayOutputStream[] fragments = new ByteArrayOutputStream[LANES];

    static int fragmentHeader(int lane, boolean last, int length) {
        return FRAGMENT | (last ? LAST : 0) | lane << LANE_SHIFT | length;
    }

    /** Room for more bytes, in flush mode as an end point fills it; {@link #filled} follows. */
    public ByteBuffer room() {
        if (!received.hasRemaining()) {
            received = ByteBuffer.allocate(received.capacity() * 2).put(received.flip());
        }
        return received.slice().limit(0);
    }

    /** So many bytes came into {@link #room}; {@link #next} may be called until it returns null. */
    public void filled(int bytes) {
        received.position(received.position() + bytes);
        received.flip();
    }

    /**
     * The body of the next message; null if it is not whole yet, and then there is {@link #room} for it.
     *
     * @param bodyMax a longer message is refused with a {@link FrameException}
     */
    public byte[] next(int bodyMax) {
        while (received.remaining() >= HEADER_BYTES) {
            int header = received.getInt(received.position());
            boolean fragment = (header & FRAGMENT) != 0;
            int length = fragment ? header & LENGTH_MASK : header;
            if (length > bodyMax || fragment && length == 0) {
                throw new FrameException(FrameException.Reason.OVERSIZED, "frame of " + length);
            }
            if (received.remaining() < HEADER_BYTES + length) {
                makeRoom(HEADER_BYTES + length);
                return null;
            }
            received.getInt();
            byte[] body = new byte[length];
            received.get(body);
            byte[] whole = fragment ? assembled(header, body, bodyMax) : body;
            if (whole != null) {
                return whole;
            }
        }
        received.compact();
        return null;
    }

    /** The message whose last fragment this is, null for any other fragment. */
    private byte[] assembled(int header, byte[] part, int bodyMax) {
        int lane = header >>> LANE_SHIFT & LANES - 1;
        ByteArrayOutputStream before = fragments[lane];
        ByteArrayOutputStream all = before == null ? new ByteArrayOutputStream() : before;
        if (all.size() + part.length > bodyMax) {
            throw new FrameException(FrameException.Reason.OVERSIZED, "fragments of over " + all.size());
        }
        all.writeBytes(part);
        boolean last = (header & LAST) != 0;
        fragments[lane] = last ? null : all;
        return last ? all.toByteArray() : null;
    }

    private void makeRoom(int frameBytes) {
        if (received.capacity() < frameBytes) {
            received = ByteBuffer.allocate(frameBytes + SLACK_BYTES).put(received);
        } else {
            received.compact();
        }
    }
}
