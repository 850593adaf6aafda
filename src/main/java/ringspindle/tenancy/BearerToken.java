package ringspindle.tenancy;

import com.google.common.base.CharMatcher;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Reads the key of {@code Authorization: Bearer KEY}. */
final class BearerToken {
    /** A longer key is none. */
    static final int LENGTH_MAX = 512;

    private static final String SCHEME = "bearer ";
    private static final CharMatcher BLANK = CharMatcher.anyOf(" \t");
    private static final CharMatcher KEY = CharMatcher.inRange('!', '~');

    private BearerToken() {}

    /** The key, empty if there is not just one field of that form. */
    static Optional<String> read(List<String> authorization) {
        if (authorization.size() != 1) {
            return Optional.empty();
        }
        String value = BLANK.trimFrom(authorization.get(0));
        if (!value.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
            return Optional.empty();
        }
        String key = BLANK.trimFrom(value.substring(SCHEME.length()));
        boolean proper = !key.isEmpty() && key.length() <= LENGTH_MAX && KEY.matchesAllOf(key);
        return proper ? Optional.of(key) : Optional.empty();
    }
}
