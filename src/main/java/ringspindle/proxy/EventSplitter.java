package ringspindle.proxy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Cuts a stream's bytes into whole events and reads their ids. */
final class EventSplitter {
    /** The event names no id. */
    static final long NO_ID = -1;
    /** The event names an id that is no number. */
    static final long UNREADABLE_ID = -2;

    private static final int EVENT_MAX = 4 << 20;

    /** One whole event, with its closing blank line. id is NO_ID without one; weights is -1 where none are named. */
    record Event(byte[] bytes, long id, long weights) {}

    private byte[] buffer = new byte[1024];
    private int length;
    private int scanned;

    /** Takes bytes, gives the events that are whole now; throws {@link IllegalStateException} on an endless one. */
    List<Event> feed(ByteBuffer in) {
        int n = in.remaining();
        if (length + n > EVENT_MAX) {
            throw new IllegalStateException("event over " + EVENT_MAX);
        }
        if (length + n > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + n));
        }
        in.get(buffer, length, n);
        length += n;
        List<Event> out = new ArrayList<>(2);
        int start = 0;
        int i = Math.max(scanned, 1);
        for (; i < length; i++) {
            if (buffer[i] == '\n'
                    && (buffer[i - 1] == '\n' && i - 1 >= start
                            || i >= start + 3 && buffer[i - 1] == '\r' && buffer[i - 2] == '\n')) {
                out.add(event(Arrays.copyOfRange(buffer, start, i + 1)));
                start = i + 1;
            }
        }
        System.arraycopy(buffer, start, buffer, 0, length - start);
        length -= start;
        scanned = length;
        return out;
    }

    /** True while bytes of an unfinished event are here. */
    boolean partial() {
        return length > 0;
    }

    private static Event event(byte[] bytes) {
        long id = NO_ID;
        long weights = -1;
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        for (String line : text.split("\n")) {
            if (line.startsWith("id:")) {
                id = number(line.substring(3), UNREADABLE_ID);
            } else if (line.startsWith("weight-versions:")) {
                weights = number(line.substring(16), -1);
            }
        }
        return new Event(bytes, id, weights);
    }

    private static long number(String text, long otherwise) {
        try {
            long number = Long.parseLong(text.trim());
            return number < 0 ? otherwise : number;
        } catch (NumberFormatException x) {
            return otherwise;
        }
    }
}
