package ringspindle.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Header fields that concern one connection only and are never passed on. */
final class HopByHopHeaders {
    private static final List<String> ALWAYS = List.of(
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

    /** The names, in lower case, of the fields of that head which are not to be passed on. */
    static Set<String> of(HttpFields head) {
        Set<String> names = new HashSet<>(ALWAYS);
        for (String named : head.getCSV(HttpHeader.CONNECTION, false)) {
            names.add(named.toLowerCase(Locale.ROOT));
        }
        return names;
    }
}
