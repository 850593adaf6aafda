package ringspindle.transport;

import java.nio.ByteBuffer;
import ringspindle.protocol.FrameException;

/**
 * Cuts the bytes of one connection into frames: a length of four bytes, most significant first, then so many bytes. Its
 * buffer grows to the longest frame that came. Not thread safe.
 */
final class FrameDecoder {
    /** Bytes of a frame before its body. */
    static final int LENGTH_BYTES = Integer.BYTES;

    private static final int INITIAL_BYTES = 8192;
    /** Room behind a long frame, for the start of the next one. */
    private static final int SLACK_BYTES = 4096;

    /** Bytes from 0 to the position have come and are not read yet. */
    private ByteBuffer received = ByteBuffer.allocate(INITIAL_BYTES);

    /** Room for more bytes, in flush mode as an end point fills it; {@link #filled} follows. */
    ByteBuffer room() {
        if (!received.hasRemaining()) {
            received = ByteBuffer.allocate(received.capacity() * 2).put(received.flip());
        }
        return received.slice().limit(0);
    }

    /** So many bytes came into {@link #room}; {@link #next} may be called until it returns null. */
    void filled(int bytes) {
        received.position(received.position() + bytes);
        received.flip();
    }

    /**
     * The body of the next frame; null if it is not whole yet, and then there is {@link #room} for it.
     *
     * @param bodyMax a longer frame is refused with a {@link FrameException}, as is one of a length below zero
     */
    byte[] next(int bodyMax) {
        if (received.remaining() < LENGTH_BYTES) {
            received.compact();
            return null;
        }
        int length = received.getInt(received.position());
        if (length < 0 || length > bodyMax) {
            throw new FrameException(FrameException.Reason.OVERSIZED, "frame of " + length);
        }
        if (received.remaining() < LENGTH_BYTES + length) {
            makeRoom(LENGTH_BYTES + length);
            return null;
        }
        received.getInt();
        byte[] body = new byte[length];
        received.get(body);
        return body;
    }

    private void makeRoom(int frameBytes) {
        if (received.capacity() < frameBytes) {
            received = ByteBuffer.allocate(frameBytes + SLACK_BYTES).put(received);
        } else {
            received.compact();
        }
    }
}
