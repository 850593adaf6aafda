package ringspindle.proxy;

import org.eclipse.jetty.http.HttpFields;

/** What an answer's {@code Keep-Alive} field says. */
final class KeepAlive {
    /** The engine states no time. */
    static final long NOT_STATED = -1;

    private static final String TIMEOUT = "timeout=";

    private KeepAlive() {}

    /** For how many whole seconds the engine keeps an idle connection; {@link #NOT_STATED} if it does not say. */
    static long statedSeconds(HttpFields answerHead) {
        String field = answerHead.get(Headers.KEEP_ALIVE);
        int start = field == null ? -1 : field.indexOf(TIMEOUT);
        if (start < 0) {
            return NOT_STATED;
        }
        try {
            return Math.max(
                    0,
                    Integer.parseInt(field.substring(start + TIMEOUT.length())
                            .split("[,; ]")[0]
                            .trim()));
        } catch (NumberFormatException notANumber) {
            return 0;
        }
    }
}
