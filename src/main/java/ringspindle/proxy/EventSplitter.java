package ringspindle.proxy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Cuts the bytes of one engine's event stream into whole events. Lines may end with LF or CR LF. Not thread safe. */
final class EventSplitter {
    /** The largest event, and the most bytes that are held of one that is not whole yet. */
    static final int EVENT_BYTES_MAX = 4 << 20;

    private static final int INITIAL_BYTES = 1024;

    /** An event is larger than {@link #EVENT_BYTES_MAX}. */
    static final class OversizedEventException extends Exception {
        private static final long serialVersionUID = 1;

        private OversizedEventException() {
            super("an event is larger than " + EVENT_BYTES_MAX + " bytes");
        }
    }

    private byte[] buffer = new byte[INITIAL_BYTES];
    private int length;
    private int scanned;

    /**
     * Takes further bytes of the stream.
     *
     * @return the events that are whole now, in order, each with its closing blank line
     * @throws OversizedEventException if the event at hand is too large; the stream cannot go on
     */
    List<StreamEvent> feed(ByteBuffer bytes) throws OversizedEventException {
        append(bytes);
        List<StreamEvent> events = new ArrayList<>(2);
        int start = 0;
        for (int i = Math.max(scanned, 1); i < length; i++) {
            if (endsEvent(i, start)) {
                events.add(StreamEvent.parse(Arrays.copyOfRange(buffer, start, i + 1)));
                start = i + 1;
            }
        }
        System.arraycopy(buffer, start, buffer, 0, length - start);
        length -= start;
        scanned = length;
        return events;
    }

    /** True while bytes of an event that is not whole are held. */
    boolean hasPartialEvent() {
        return length > 0;
    }

    private void append(ByteBuffer bytes) throws OversizedEventException {
        int added = bytes.remaining();
        if (length + added > EVENT_BYTES_MAX) {
            throw new OversizedEventException();
        }
        if (length + added > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + added));
        }
        bytes.get(buffer, length, added);
        length += added;
    }

    /** True if the byte at that index is the LF of the blank line that closes the event which begins at start. */
    private boolean endsEvent(int index, int start) {
        if (buffer[index] != '\n') {
            return false;
        }
        boolean afterLf = buffer[index - 1] == '\n' && index - 1 >= start;
        boolean afterLfAndCr = index >= start + 3 && buffer[index - 1] == '\r' && buffer[index - 2] == '\n';
        return afterLf || afterLfAndCr;
    }
}
