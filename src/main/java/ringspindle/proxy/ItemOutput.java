package ringspindle.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Output of an item received so far, from all engines that produced or resumed it. Not thread safe. */
final class ItemOutput {
    private static final String DATA_FIELD = "data:";

    private final StreamPosition position = StreamPosition.after(null);
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private boolean hasEvents;

    /** Returns the position in the event stream up to which output was received. */
    StreamPosition position() {
        return position;
    }

    boolean hasEvents() {
        return hasEvents;
    }

    /** Appends the data of an event on a new line; returns false if the event does not follow the previous one. */
    boolean append(StreamEvent event) {
        if (!position.advance(event)) {
            return false;
        }
        String eventText = new String(event.bytes(), StandardCharsets.ISO_8859_1);
        for (String line : eventText.split("\r?\n")) {
            if (line.startsWith(DATA_FIELD)) {
                appendLine(line.substring(DATA_FIELD.length()));
            }
        }
        return true;
    }

    /** Appends the value of a data field, without the one space after the colon that belongs to the event format. */
    private void appendLine(String data) {
        if (hasEvents) {
            bytes.write('\n');
        }
        hasEvents = true;
        String value = data.startsWith(" ") ? data.substring(1) : data;
        bytes.writeBytes(value.getBytes(StandardCharsets.ISO_8859_1));
    }

    byte[] toByteArray() {
        return bytes.toByteArray();
    }
}
