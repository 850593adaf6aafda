package ringspindle.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The layout of slots and logs: records one after another, each as length, CRC32C of the rest, generation and body.
 * An empty body closes a slot.
 */
final class RecordFormat {
    private static final int LENGTH_AND_CRC = 4 + 4;
    private static final int HEADER = LENGTH_AND_CRC + 8;
    private static final byte[] END = {};

    /** The whole records that a file starts with: of one generation, {@code size} bytes; {@code closed} by an empty one. */
    record Records(long generation, List<byte[]> bodies, long size, boolean closed) {}

    private RecordFormat() {}

    static ByteBuffer frame(byte[] body, long generation) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER + body.length);
        frame.putInt(0, body.length).putLong(LENGTH_AND_CRC, generation).put(HEADER, body);
        return frame.putInt(4, crc(frame.array(), LENGTH_AND_CRC, 8 + body.length));
    }

    static ByteBuffer end(long generation) {
        return frame(END, generation);
    }

    /** Reads until the first record that is torn, or of another generation than the first one. */
    static Records parse(byte[] file) {
        ByteBuffer in = ByteBuffer.wrap(file);
        List<byte[]> bodies = new ArrayList<>();
        long generation = -1;
        long size = 0;
        while (in.remaining() >= HEADER) {
            int length = in.getInt();
            int crc = in.getInt();
            if (length < 0 || length > in.remaining() - 8 || crc(file, in.position(), 8 + length) != crc) {
                break;
            }
            long found = in.getLong();
            if (size > 0 && found != generation) {
                break;
            }
            generation = found;
            byte[] body = new byte[length];
            in.get(body);
            if (length == 0) {
                return new Records(generation, bodies, in.position(), true);
            }
            bodies.add(body);
            size = in.position();
        }
        return new Records(generation, bodies, size, false);
    }

    private static int crc(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }
}
