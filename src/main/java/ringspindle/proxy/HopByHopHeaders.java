package ringspindle.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Hop-by-hop headers, which apply to a single connection and are never forwarded. */
final class HopByHopHeaders {
    private static final List<String> STANDARD_NAMES = List.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization");

    private HopByHopHeaders() {}

    /** Returns the lower-case names of the headers of a message that must not be forwarded. */
    static Set<String> of(HttpFields headers) {
        Set<String> names = new HashSet<>(STANDARD_NAMES);
        for (String listed : headers.getCSV(HttpHeader.CONNECTION, false)) {
            names.add(listed.toLowerCase(Locale.ROOT));
        }
        return names;
    }
}
