package ringspindle.routing;

/**
 * What requests are kept together by, so that they meet an engine that has their prefix in its cache.
 *
 * <p>A prefix is a list of parts, each a hash and its tokens: {@code "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}. The last
 * part is the request's own, all before it are shared with other requests.
 *
 * @param maxParts most shared parts that are compared
 * @param maxTokens no part that begins behind so many tokens is compared
 * @param maxImbalance how many times the mean load the holder may have before it counts as busy
 */
public record Affinity(Basis basis, int maxParts, int maxTokens, double maxImbalance) {
    /** What is compared. The names are those of the rules document and of command output, in lower case. */
    public enum Basis {
        /** The first shared parts of the prompt. */
        PROMPT,
        /** The last part, which is the session's or the request's own. */
        SESSION,
        /** Nothing: any engine is as good. */
        NONE
    }

    /** Without rules, a shorter prefix is read again sooner than a request crosses to where it is cached. */
    private static final int DEFAULT_MIN_TOKENS = 1000;

    /** Odd multiplier that combines the hashes of consecutive parts. */
    private static final int HASH_MULTIPLIER = 31;
    /** 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing. */
    private static final long GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15L;

    private static final Key NO_KEY = new Key(0, 0);

    /**
     * What a request shares.
     *
     * @param hash hash of what is compared, the same on every node; 0 if nothing is
     * @param sharedTokens tokens of the whole shared prefix, whatever is compared of it
     */
    public record Key(long hash, int sharedTokens) {}

    /** The key of a request to which no rule applies: by all shared parts, if they have a thousand tokens together. */
    public static Key defaultKey(String prefix) {
        return promptKey(prefix.split(","), Integer.MAX_VALUE, Integer.MAX_VALUE, DEFAULT_MIN_TOKENS);
    }

    /** The key of a request with that prefix; parts that cannot be read are left out. */
    public Key key(String prefix) {
        String[] prefixParts = prefix.split(",");
        return switch (basis) {
            case PROMPT -> promptKey(prefixParts, maxParts, maxTokens, 1);
            case SESSION -> sessionKey(prefixParts);
            case NONE -> new Key(0, sharedTokens(prefixParts));
        };
    }

    private static Key sessionKey(String[] prefixParts) {
        if (prefixParts.length == 0) {
            // nothing but commas
            return NO_KEY;
        }
        String last = prefixParts[prefixParts.length - 1];
        int colon = last.indexOf(':');
        if (colon <= 0) {
            return NO_KEY;
        }
        long hash = last.substring(0, colon).hashCode();
        return new Key(mixBits(hash), sharedTokens(prefixParts));
    }

    private static int sharedTokens(String[] prefixParts) {
        return promptKey(prefixParts, Integer.MAX_VALUE, Integer.MAX_VALUE, 0).sharedTokens();
    }

    /**
     * Hash of the first shared parts.
     *
     * @param minTokens tokens that these parts must have together, else nothing is compared
     */
    private static Key promptKey(String[] prefixParts, int partLimit, int tokenLimit, int minTokens) {
        long hash = 0;
        int comparedTokens = 0;
        int sharedTokens = 0;
        for (int i = 0; i < prefixParts.length - 1; i++) {
            String part = prefixParts[i];
            int colon = part.indexOf(':');
            if (colon <= 0) {
                continue;
            }
            int partTokens = parseTokens(part.substring(colon + 1));
            if (i < partLimit && sharedTokens < tokenLimit) {
                hash = hash * HASH_MULTIPLIER + part.substring(0, colon).hashCode();
                comparedTokens += partTokens;
            }
            sharedTokens += partTokens;
        }
        boolean longEnough = comparedTokens >= minTokens && comparedTokens > 0;
        return new Key(longEnough ? mixBits(hash) : 0, sharedTokens);
    }

    /** Spreads the bits of a hash; never 0. */
    private static long mixBits(long hash) {
        return (hash == 0 ? 1 : hash) * GOLDEN_RATIO_64;
    }

    private static int parseTokens(String number) {
        try {
            return Math.max(0, Integer.parseInt(number.trim()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
