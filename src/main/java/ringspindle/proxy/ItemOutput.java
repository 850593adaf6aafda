package ringspindle.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** The output of an item as far as it has come, over all engines that went on with it. Not thread safe. */
final class ItemOutput {
    private static final String DATA_FIELD = "data:";

    private final StreamPosition position = StreamPosition.after(null);
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private boolean hasEvents;

    /** How far it has come. */
    StreamPosition position() {
        return position;
    }

    boolean hasEvents() {
        return hasEvents;
    }

    /** Adds an event's data behind a line feed; false if the event does not follow. */
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

    /** One space behind the colon belongs to the form of events. */
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
