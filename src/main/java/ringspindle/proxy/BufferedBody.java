package ringspindle.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Buffers the body of an engine's response until it is complete. Not thread safe. */
final class BufferedBody {
    /** The largest response body that is buffered. */
    private static final int MAX_BYTES = 16 << 20;

    private static final int INITIAL_CAPACITY_BYTES = 1024;

    private final ByteArrayOutputStream collected = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);

    /** Appends the remaining bytes of the part; returns false if the body exceeds the maximum size. */
    boolean append(ByteBuffer part) {
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        collected.writeBytes(copy);
        return collected.size() <= MAX_BYTES;
    }

    boolean isEmpty() {
        return collected.size() == 0;
    }

    /** Returns a copy of the bytes received so far. */
    byte[] toByteArray() {
        return collected.toByteArray();
    }
}
