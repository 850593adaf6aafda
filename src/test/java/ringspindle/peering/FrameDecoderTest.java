package ringspindle.peering;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.FrameException;

/** Frames come out whole and in order, however the bytes were cut on their way. */
class FrameDecoderTest {
    private static final int BODY_MAX = 100_000;

    private static byte[] stream(List<byte[]> bodies) {
        int bytes = bodies.stream().mapToInt(body -> 4 + body.length).sum();
        ByteBuffer stream = ByteBuffer.allocate(bytes);
        bodies.forEach(body -> stream.putInt(body.length).put(body));
        return stream.array();
    }

    /** Puts as much as fits into the decoder, as an end point does: position to limit of the room is data. */
    private static int fill(FrameDecoder decoder, byte[] bytes, int offset, int most) {
        ByteBuffer room = decoder.room();
        assertEquals(0, room.remaining());
        int count = Math.min(Math.min(most, room.capacity()), bytes.length - offset);
        room.limit(count).put(bytes, offset, count);
        decoder.filled(count);
        return count;
    }

    private static List<byte[]> read(byte[] stream, Random pieces, int pieceMax) {
        FrameDecoder decoder = new FrameDecoder();
        List<byte[]> bodies = new ArrayList<>();
        int offset = 0;
        while (offset < stream.length) {
            offset += fill(decoder, stream, offset, 1 + pieces.nextInt(pieceMax));
            for (byte[] body = decoder.next(BODY_MAX); body != null; body = decoder.next(BODY_MAX)) {
                bodies.add(body);
            }
        }
        return bodies;
    }

    @Test
    void framesComeOutAsTheyWent() {
        for (int seed = 0; seed < 40; seed++) {
            Random random = new Random(seed);
            List<byte[]> bodies = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                byte[] body = new byte[random.nextInt(5) == 0 ? random.nextInt(BODY_MAX) : random.nextInt(40)];
                random.nextBytes(body);
                bodies.add(body);
            }
            List<byte[]> read = read(stream(bodies), random, seed % 2 == 0 ? 7 : 30_000);
            assertEquals(bodies.size(), read.size());
            for (int i = 0; i < bodies.size(); i++) {
                assertArrayEquals(bodies.get(i), read.get(i), "seed " + seed + " frame " + i);
            }
        }
    }

    @Test
    void lengthsOutOfBoundsAreRefusedBeforeTheirBytesCome() {
        for (int length : new int[] {-1, Integer.MIN_VALUE, 101, Integer.MAX_VALUE}) {
            FrameDecoder decoder = new FrameDecoder();
            fill(decoder, ByteBuffer.allocate(4).putInt(length).array(), 0, 4);
            FrameException e = assertThrows(FrameException.class, () -> decoder.next(100));
            assertEquals(FrameException.Reason.OVERSIZED, e.reason());
        }
    }

    @Test
    void boundOfEachFrameCountsByItself() {
        byte[] stream = stream(List.of(new byte[100], new byte[101]));
        FrameDecoder decoder = new FrameDecoder();
        fill(decoder, stream, 0, stream.length);
        assertEquals(100, decoder.next(100).length);
        assertEquals(101, decoder.next(101).length);
        assertNull(decoder.next(100));
    }
}
