package ringspindle.experiment;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.List;

/**
 * Divides sessions between sides: a function of salt and session alone, so that every node gives the same answer without
 * asking another. Sessions fall into buckets; each side holds a range of them that only grows while the experiment ramps up.
 */
public final class SessionAssignment {
    /** Sessions in no bucket that a side holds yet. */
    public static final int OUTSIDE = -1;

    /** Groups into which the sessions of a side fall; outcomes are counted by group, so that variances are those of sessions. */
    public static final int GROUPS = 32;

    static final int BUCKETS = 10_000;

    private SessionAssignment() {}

    /**
     * The session that a request belongs to, from its {@code Prompt-Prefix}: the id of the last part; empty if it has none, and
     * then the request takes no part. {@code sessionOf("5c1e07a2:800,e4402b7d:250")} is {@code "e4402b7d"}.
     */
    public static String sessionOf(String promptPrefix) {
        if (promptPrefix == null) {
            return "";
        }
        String last = promptPrefix.substring(promptPrefix.lastIndexOf(',') + 1).trim();
        int colon = last.indexOf(':');
        return colon <= 0 ? "" : last.substring(0, colon);
    }

    static int bucket(String salt, String session) {
        return (int) (hash(salt, session) % BUCKETS);
    }

    static int group(String salt, String session) {
        return (int) (hash(salt, session) / BUCKETS % GROUPS);
    }

    private static long hash(String salt, String session) {
        HashCode hash = Hashing.murmur3_128()
                .newHasher()
                .putInt(salt.length())
                .putUnencodedChars(salt)
                .putUnencodedChars(session)
                .hash();
        return hash.asLong() & Long.MAX_VALUE;
    }

    /**
     * The side that holds a bucket.
     *
     * @param ramp how much of its range each side holds so far, over 0 and at most 1
     * @return index of the side, {@link #OUTSIDE} if none holds it yet
     */
    static int side(List<Side> sides, double ramp, int bucket) {
        double from = 0;
        for (int i = 0; i < sides.size(); i++) {
            double whole = sides.get(i).share() * BUCKETS;
            if (bucket >= Math.round(from) && bucket < Math.round(from + whole)) {
                return bucket < Math.round(from + whole * ramp) ? i : OUTSIDE;
            }
            from += whole;
        }
        return OUTSIDE;
    }
}
