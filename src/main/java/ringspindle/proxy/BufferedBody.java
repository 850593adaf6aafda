package ringspindle.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** The body of an engine's answer, held until it is complete. Not thread safe. */
final class BufferedBody {
    /** The largest answer that is held, in bytes. */
    private static final int BYTES_MAX = 16 << 20;

    private static final int INITIAL_BYTES = 1024;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);

    /** Adds what is left of the part; false if the body is larger than may be held. */
    boolean append(ByteBuffer part) {
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        bytes.writeBytes(copy);
        return bytes.size() <= BYTES_MAX;
    }

    boolean isEmpty() {
        return bytes.size() == 0;
    }

    /** All that has come, in a new array. */
    byte[] toByteArray() {
        return bytes.toByteArray();
    }
}
