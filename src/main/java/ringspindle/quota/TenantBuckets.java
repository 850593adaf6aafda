package ringspindle.quota;

import java.util.HashMap;
import java.util.Map;
import ringspindle.protocol.TenantMessage.QuotaLeave;
import ringspindle.protocol.TenantMessage.QuotaNeed;

/**
 * The buckets of tokens of all tenants, at the head of the view. Not thread safe; times are of the head's steady clock, in ms.
 *
 * <p>With R and B the rate and burst of a tenant, five seconds may see 1.1 (5 R + B) + 20 requests at engines. A bucket is refilled
 * with 0.85 R and holds 1.1 B + 15 at most, and tokens are good for {@link #TOKEN_MS}: that is at most 4.59 R + 1.1 B + 15 in any
 * five seconds. What is left, 0.91 R + 5, is for a change of the head: a head that takes over begins with 5 tokens and 0.6 R, until
 * whoever was head before it cannot grant any more, at most 1.5 s later. So two that overlap stay within the whole. That is enough for
 * one change in five seconds. A head that takes over sooner after another change grants nothing until the one before it cannot grant
 * any more, and begins without tokens ({@link HeadChanges}): then no two grant at a time, and however many heads there are, together
 * they grant no more than one would.
 */
public final class TenantBuckets {
    /** A token is good for so long after the data node asked for it. */
    public static final int TOKEN_MS = 400;

    private static final double TAKEOVER_PART = 0.6;
    private static final int TAKEOVER_MS = 2500;
    private static final double TAKEOVER_TOKENS = 5;
    private static final double MS_PER_S = 1000;
    /** Tokens that are only expected to be needed come from a bucket that is at least so full. */
    private static final double EXTRA_FROM_PART = 0.5;

    private static final long NEVER = -2;

    /** The tokens of one tenant. */
    private static final class Bucket {
        double tokens;
        /** Requests of all nodes that were granted nothing, less what has come in for them since. */
        double unmet;

        long refilledMs;
    }

    private final Map<String, Bucket> buckets = new HashMap<>();
    private long epoch = NEVER;
    private long cautiousUntilMs;
    /** Nothing is granted before. */
    private long silentUntilMs;

    private final HeadChanges changes;
    private double initialTokens = Double.MAX_VALUE;

    /**
     * Buckets that nothing was granted from yet.
     *
     * @param changes what this node saw of changes of the head; observed by the caller
     */
    public TenantBuckets(HeadChanges changes) {
        this.changes = changes;
    }

    /** This node is the head of that view; comes before each grant. */
    public void lead(long viewEpoch, long nowMs) {
        if (viewEpoch == epoch) {
            return;
        }
        boolean succeedsItself = epoch != NEVER && viewEpoch == epoch + 1;
        boolean firstEver = viewEpoch == 1;
        epoch = viewEpoch;
        if (!succeedsItself) {
            buckets.clear();
            takeOver(firstEver, nowMs);
        }
    }

    private void takeOver(boolean firstEver, long nowMs) {
        silentUntilMs = nowMs;
        cautiousUntilMs = nowMs;
        if (firstEver) {
            initialTokens = Double.MAX_VALUE;
        } else if (changes.mayOverlap()) {
            initialTokens = TAKEOVER_TOKENS;
            cautiousUntilMs = nowMs + TAKEOVER_MS;
        } else {
            initialTokens = 0;
            silentUntilMs = nowMs + HeadChanges.OVERLAP_MS;
        }
    }

    /** Grants what may be had of what a node asks for. */
    public QuotaLeave grant(QuotaNeed asked, TenantLimit limit, long nowMs) {
        if (nowMs < silentUntilMs) {
            return new QuotaLeave(asked.tenant(), 0, (int) (silentUntilMs - nowMs));
        }
        Bucket bucket = buckets.computeIfAbsent(asked.tenant(), tenant -> fresh(nowMs));
        double rate = nowMs < cautiousUntilMs ? limit.ratePerS() * TAKEOVER_PART : limit.refillPerS();
        double most = limit.bucketSize();
        double refill = rate * (nowMs - bucket.refilledMs) / MS_PER_S;
        bucket.tokens = Math.min(most, bucket.tokens + refill);
        bucket.unmet = Math.max(0, bucket.unmet - refill);
        bucket.refilledMs = nowMs;
        int needed = (int) Math.min(asked.need(), bucket.tokens);
        bucket.tokens -= needed;
        int spare = (int) Math.max(0, bucket.tokens - most * EXTRA_FROM_PART);
        int extra = Math.min(asked.extra(), spare);
        bucket.tokens -= extra;
        bucket.unmet += asked.need() - needed;
        int waitMs = needed < asked.need() ? (int) Math.ceil(bucket.unmet / rate * MS_PER_S) : 0;
        return new QuotaLeave(asked.tenant(), needed + extra, waitMs);
    }

    private Bucket fresh(long nowMs) {
        Bucket bucket = new Bucket();
        bucket.tokens = initialTokens;
        bucket.refilledMs = nowMs;
        return bucket;
    }
}
