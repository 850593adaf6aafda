package ringspindle.proxy;

import org.eclipse.jetty.http.HttpFields;

/**
 * What {@code Token-Count} says; 0 where it says nothing that can be read.
 *
 * @param prompt tokens of the prompt
 * @param output the most tokens to be sent out
 */
record TokenCounts(int prompt, int output) {
    /** Reads a head; {@code Token-Count: 1460,80} has 1460 and 80. */
    static TokenCounts of(HttpFields headers) {
        String header = headers.get(Headers.TOKEN_COUNT);
        String[] counts = (header == null ? "" : header).split(",", -1);
        return new TokenCounts(parseCount(counts[0]), counts.length > 1 ? parseCount(counts[1]) : 0);
    }

    private static int parseCount(String text) {
        try {
            return Integer.parseInt(text.trim());
        } catch (NumberFormatException notANumber) {
            return 0;
        }
    }
}
