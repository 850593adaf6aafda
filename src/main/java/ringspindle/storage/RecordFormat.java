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
    private static final int LENGTH_OFFSET = 0;
    private static final int CRC_OFFSET = LENGTH_OFFSET + Integer.BYTES;
    /** What stands from here on is covered by the CRC. */
    private static final int GENERATION_OFFSET = CRC_OFFSET + Integer.BYTES;

    private static final int BODY_OFFSET = GENERATION_OFFSET + Long.BYTES;
    private static final byte[] END = {};

    /**
     * The whole records that a file starts with.
     *
     * @param generation of all of them, -1 if there are none
     * @param size how many bytes of the file they take
     * @param closed true if an empty record ends them
     */
    record Records(long generation, List<byte[]> bodies, long size, boolean closed) {}

    private RecordFormat() {}

    /** A record of that body. */
    static ByteBuffer frame(byte[] body, long generation) {
        ByteBuffer frame = ByteBuffer.allocate(BODY_OFFSET + body.length);
        frame.putInt(LENGTH_OFFSET, body.length)
                .putLong(GENERATION_OFFSET, generation)
                .put(BODY_OFFSET, body);
        return frame.putInt(CRC_OFFSET, crc(frame.array(), GENERATION_OFFSET, Long.BYTES + body.length));
    }

    /** The empty record that closes a slot. */
    static ByteBuffer end(long generation) {
        return frame(END, generation);
    }

    /** Reads until the first record that is torn, or of another generation than the first one. */
    static Records parse(byte[] file) {
        ByteBuffer in = ByteBuffer.wrap(file);
        List<byte[]> bodies = new ArrayList<>();
        long generation = -1;
        long size = 0;
        while (in.remaining() >= BODY_OFFSET) {
            int length = in.getInt();
            int crc = in.getInt();
            boolean fits = length >= 0 && length <= in.remaining() - Long.BYTES;
            if (!fits || crc(file, in.position(), Long.BYTES + length) != crc) {
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
