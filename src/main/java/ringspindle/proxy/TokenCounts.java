package ringspindle.proxy;

import org.eclipse.jetty.http.HttpFields;

/**
 * The token counts of a {@code Token-Count} header; 0 where a count is missing or malformed.
 *
 * @param prompt number of prompt tokens
 * @param output maximum number of output tokens
 */
record TokenCounts(int prompt, int output) {
    /** Parses the header; {@code Token-Count: 1460,80} gives 1460 and 80. */
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
