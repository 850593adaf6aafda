package ringspindle.routing;

/**
 * What a request goes back by.
 *
 * @param parts at most so many of the prompt's first shared parts
 * @param tokens no part that begins behind so many tokens
 * @param uneven how many times the mean load the holder may have before it counts as busy
 */
public record Affinity(By by, int parts, int tokens, double uneven) {
    /** What is compared. */
    public enum By {
        /** The first shared parts of the prompt: a report, a brief. */
        PROMPT,
        /** The last part, which is the session's or the request's own. */
        SESSION,
        /** Nothing: any engine is as good. */
        NONE
    }

    private static final int SHARED_LEAST = 1000;

    /** What is shared, as a number that is the same on every node, and how many tokens it spans; key 0 for none. */
    public record Key(long key, int sharedTokens) {}

    /** As without rules: all parts but the last, if they span a thousand tokens; {@code Affinity.plain("a1:800,b2:40")}. */
    public static Key plain(String prefix) {
        return of(prefix.split(","), Integer.MAX_VALUE, Integer.MAX_VALUE, SHARED_LEAST);
    }

    /** {@code affinity.key("5c1e07a2:800,91bd3f06:410,e4402b7d:250")}. */
    public Key key(String prefix) {
        String[] all = prefix.split(",");
        switch (by) {
            case SESSION: {
                Key shared = of(all, Integer.MAX_VALUE, Integer.MAX_VALUE, 0);
                String last = all[all.length - 1];
                int colon = last.indexOf(':');
                return colon <= 0
                        ? new Key(0, 0)
                        : new Key(spread(last.substring(0, colon).hashCode()), shared.sharedTokens());
            }
            case PROMPT:
                return of(all, parts, tokens, 1);
            default:
                return new Key(
                        0, of(all, Integer.MAX_VALUE, Integer.MAX_VALUE, 0).sharedTokens());
        }
    }

    private static Key of(String[] all, int parts, int tokens, int least) {
        long hash = 0;
        int spanned = 0;
        int shared = 0;
        for (int i = 0; i < all.length - 1; i++) {
            int colon = all[i].indexOf(':');
            if (colon > 0) {
                int n = number(all[i].substring(colon + 1));
                if (i < parts && shared < tokens) {
                    hash = hash * 31 + all[i].substring(0, colon).hashCode();
                    spanned += n;
                }
                shared += n;
            }
        }
        // a short head is read again sooner than a request crosses to where it is kept
        return new Key(spanned >= least && spanned > 0 ? spread(hash) : 0, shared);
    }

    private static long spread(long hash) {
        return (hash == 0 ? 1 : hash) * 0x9E3779B97F4A7C15L;
    }

    private static int number(String s) {
        try {
            return Math.max(0, Integer.parseInt(s.trim()));
        } catch (NumberFormatException x) {
            return 0;
        }
    }
}
