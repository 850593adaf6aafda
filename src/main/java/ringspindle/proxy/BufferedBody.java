package ringspindle.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** The body of an engine's answer, held until it is complete. Not thread safe. */
final class BufferedBody {
    /** The largest answer that is held, in bytes. */
    private static final int MAX_BYTES = 16 << 20;

    private static final int INITIAL_CAPACITY_BYTES = 1024;

    private final ByteArrayOutputStream collected = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);

    /** Adds what is left of the part; false if the body is larger than may be held. */
    boolean append(ByteBuffer part) {
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        collected.writeBytes(copy);
        return collected.size() <= MAX_BYTES;
    }

    boolean isEmpty() {
        return collected.size() == 0;
    }

    /** All that has come, in a new array. */
    byte[] toByteArray() {
        return collected.toByteArray();
    }
}
