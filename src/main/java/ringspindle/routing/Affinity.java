package ringspindle.routing;

/**
 * How requests with a common prompt prefix are routed to the engine that has the prefix in its cache.
 *
 * <p>A prefix is a list of parts, each a hash and its token count: {@code "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}.
 * The last part belongs to the request itself; all earlier parts are shared with other requests.
 *
 * @param maxParts maximum number of shared parts to compare
 * @param maxTokens parts that start after this many tokens are not compared
 * @param maxImbalance multiple of the mean load at which the engine that holds the prefix counts as busy
 */
public record Affinity(Basis basis, int maxParts, int maxTokens, double maxImbalance) {
    /** Part of the prefix to compare. Rules documents and command output use the names in lower case. */
    public enum Basis {
        /** The first shared parts of the prompt. */
        PROMPT,
        /** The last part, which identifies the session or the single request. */
        SESSION,
        /** Nothing; no engine is preferred. */
        NONE
    }

    /** Without rules, a shorter prefix is recomputed sooner than the request reaches the engine that caches it. */
    private static final int DEFAULT_MIN_TOKENS = 1000;

    /** Odd multiplier that combines the hashes of consecutive parts. */
    private static final int HASH_MULTIPLIER = 31;
    /** 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing. */
    private static final long GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15L;

    private static final Key NO_KEY = new Key(0, 0);

    /**
     * Affinity key of a request.
     *
     * @param hash hash of the compared parts, the same on every node; 0 if none are compared
     * @param sharedTokens tokens of the whole shared prefix, including parts that are not compared
     */
    public record Key(long hash, int sharedTokens) {}

    /** Returns the key for requests without a rule: all shared parts if they total at least 1000 tokens. */
    public static Key defaultKey(String prefix) {
        return promptKey(prefix.split(","), Integer.MAX_VALUE, Integer.MAX_VALUE, DEFAULT_MIN_TOKENS);
    }

    /** Returns the key of a request with this prefix; malformed parts are ignored. */
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
            // the prefix consists of commas only
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
     * Returns the key of the first shared parts.
     *
     * @param minTokens minimum total tokens of the compared parts; below it the hash is 0
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

    /** Distributes the entropy of a hash over all bits; never returns 0. */
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
