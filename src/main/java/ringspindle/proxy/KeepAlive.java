package ringspindle.proxy;

import org.eclipse.jetty.http.HttpFields;

/** Parses the {@code Keep-Alive} header of a response. */
final class KeepAlive {
    /** Returned if the header announces no timeout. */
    static final long NOT_ANNOUNCED = -1;

    private static final String TIMEOUT_PARAMETER = "timeout=";

    private KeepAlive() {}

    /** Returns how many seconds the engine keeps an idle connection open, or {@link #NOT_ANNOUNCED}. */
    static long timeoutSeconds(HttpFields responseHeaders) {
        String header = responseHeaders.get(Headers.KEEP_ALIVE);
        int start = header == null ? -1 : header.indexOf(TIMEOUT_PARAMETER);
        if (start < 0) {
            return NOT_ANNOUNCED;
        }
        try {
            return Math.max(
                    0,
                    Integer.parseInt(header.substring(start + TIMEOUT_PARAMETER.length())
                            .split("[,; ]")[0]
                            .trim()));
        } catch (NumberFormatException notANumber) {
            return 0;
        }
    }
}
