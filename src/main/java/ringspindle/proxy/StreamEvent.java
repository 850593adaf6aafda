package ringspindle.proxy;

import java.nio.charset.StandardCharsets;

/**
 * One complete event of a stream.
 *
 * @param bytes the event as the engine sent it, with the terminating blank line
 * @param id the number in its {@code id} line, {@link #NO_ID} without one, {@link #INVALID_ID} if it is not a number
 * @param weightVersion the version in its {@code weight-versions} line, {@link #NO_VERSION} without one
 * @param hasData whether it has a {@code data} line
 */
record StreamEvent(byte[] bytes, long id, long weightVersion, boolean hasData) {
    static final long NO_ID = -1;
    static final long INVALID_ID = -2;
    static final long NO_VERSION = -1;

    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";
    private static final String WEIGHT_VERSION_FIELD = "weight-versions:";

    /** Parses the fields of an event. */
    static StreamEvent parse(byte[] bytes) {
        long id = NO_ID;
        long weightVersion = NO_VERSION;
        boolean hasData = false;
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        for (String line : text.split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                id = parseNumber(line.substring(ID_FIELD.length()), INVALID_ID);
            } else if (line.startsWith(WEIGHT_VERSION_FIELD)) {
                weightVersion = parseNumber(line.substring(WEIGHT_VERSION_FIELD.length()), NO_VERSION);
            } else if (line.startsWith(DATA_FIELD)) {
                hasData = true;
            }
        }
        return new StreamEvent(bytes, id, weightVersion, hasData);
    }

    private static long parseNumber(String text, long fallback) {
        try {
            long number = Long.parseLong(text.trim());
            return number < 0 ? fallback : number;
        } catch (NumberFormatException notANumber) {
            return fallback;
        }
    }
}
