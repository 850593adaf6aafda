package ringspindle.proxy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits the event stream of one engine into complete events. Lines may end with LF or CR LF. Not thread safe. */
final class EventSplitter {
    /** The maximum size of an event, and of the buffered bytes of an incomplete one. */
    static final int MAX_EVENT_BYTES = 4 << 20;

    private static final int INITIAL_BYTES = 1024;

    /** Thrown for an event that is larger than {@link #MAX_EVENT_BYTES}. */
    static final class OversizedEventException extends Exception {
        private static final long serialVersionUID = 1;

        private OversizedEventException() {
            super("event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
    }

    private byte[] buffer = new byte[INITIAL_BYTES];
    private int length;
    private int scannedLength;

    /**
     * Takes further bytes of the stream.
     *
     * @return the events that are now complete, in order, each with its terminating blank line
     * @throws OversizedEventException if the current event is too large; the stream cannot be continued
     */
    List<StreamEvent> feed(ByteBuffer bytes) throws OversizedEventException {
        append(bytes);
        List<StreamEvent> events = new ArrayList<>(2);
        int start = 0;
        for (int i = Math.max(scannedLength, 1); i < length; i++) {
            if (isEndOfEvent(i, start)) {
                events.add(StreamEvent.parse(Arrays.copyOfRange(buffer, start, i + 1)));
                start = i + 1;
            }
        }
        System.arraycopy(buffer, start, buffer, 0, length - start);
        length -= start;
        scannedLength = length;
        return events;
    }

    /** Returns true while bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return length > 0;
    }

    private void append(ByteBuffer bytes) throws OversizedEventException {
        int added = bytes.remaining();
        if (length + added > MAX_EVENT_BYTES) {
            throw new OversizedEventException();
        }
        if (length + added > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + added));
        }
        bytes.get(buffer, length, added);
        length += added;
    }

    /** Returns true if {@code index} is the LF of the blank line that terminates the event at {@code start}. */
    private boolean isEndOfEvent(int index, int start) {
        if (buffer[index] != '\n') {
            return false;
        }
        boolean afterLf = buffer[index - 1] == '\n' && index - 1 >= start;
        boolean afterLfAndCr = index >= start + 3 && buffer[index - 1] == '\r' && buffer[index - 2] == '\n';
        return afterLf || afterLfAndCr;
    }
}
