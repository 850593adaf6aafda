package ringspindle.proxy;

import java.nio.charset.StandardCharsets;

/**
 * One whole event of a stream.
 *
 * @param bytes as the engine sent it, with the blank line that closes it
 * @param id the number in its {@code id} line, {@link #NO_ID} without one, {@link #UNREADABLE_ID} if it is no number
 * @param weightVersion the version that its {@code weight-versions} line names, {@link #NO_VERSION} without one
 * @param hasData true if it has a {@code data} line
 */
record StreamEvent(byte[] bytes, long id, long weightVersion, boolean hasData) {
    static final long NO_ID = -1;
    static final long UNREADABLE_ID = -2;
    static final long NO_VERSION = -1;

    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";
    private static final String WEIGHT_VERSION_FIELD = "weight-versions:";

    /** Reads the fields of an event's bytes. */
    static StreamEvent parse(byte[] bytes) {
        long id = NO_ID;
        long weightVersion = NO_VERSION;
        boolean hasData = false;
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        for (String line : text.split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                id = number(line.substring(ID_FIELD.length()), UNREADABLE_ID);
            } else if (line.startsWith(WEIGHT_VERSION_FIELD)) {
                weightVersion = number(line.substring(WEIGHT_VERSION_FIELD.length()), NO_VERSION);
            } else if (line.startsWith(DATA_FIELD)) {
                hasData = true;
            }
        }
        return new StreamEvent(bytes, id, weightVersion, hasData);
    }

    private static long number(String text, long otherwise) {
        try {
            long number = Long.parseLong(text.trim());
            return number < 0 ? otherwise : number;
        } catch (NumberFormatException notANumber) {
            return otherwise;
        }
    }
}
