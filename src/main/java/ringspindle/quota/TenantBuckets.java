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
 * whoever was head before it cannot grant any more ({@link HeadChanges#OVERLAP_MS}). So two that overlap stay within the whole. That is
 * enough for one change in five seconds. A head that takes over sooner after another change grants nothing until the one before it
 * cannot grant any more, and begins without tokens: then no two grant at a time, and however many heads there are, together they grant
 * no more than one would. A head that none came before begins with full buckets. All buckets of a head count from when it took over,
 * whenever they are first asked for.
 */
public final class TenantBuckets {
    /** A token is good for so long after the data node asked for it. */
    public static final int TOKEN_MS = 400;

    private static final double TAKEOVER_PART = 0.6;
    private static final double TAKEOVER_TOKENS = 5;
    private static final double MS_PER_S = 1000;
    /** Tokens that are only expected to be needed come from a bucket that is at least so full. */
    private static final double EXTRA_FROM_PART = 0.5;

    private static final long NEVER = -1;

    /** The tokens of one tenant. */
    private static final class Bucket {
        double tokens;
        /** Requests of all nodes that were granted nothing, less what has come in for them since. */
        double unmet;

        long refilledMs;
    }

    private final Map<String, Bucket> buckets = new HashMap<>();
    private final HeadChanges changes;
    /** The tenure that the buckets are of. */
    private long tenure = NEVER;
    /** Nothing is granted before, and buckets fill from then on. */
    private long grantsFromMs;
    /** Until then the head before may grant too. */
    private long overlapUntilMs;

    private double initialTokens = Double.MAX_VALUE;

    /**
     * Buckets that nothing was granted from yet.
     *
     * @param changes what this node saw of changes of the head; observed by the caller
     */
    public TenantBuckets(HeadChanges changes) {
        this.changes = changes;
    }

    /** This node is the head that was observed last; comes before each grant. */
    public void lead() {
        HeadChanges.Tenure present = changes.tenure();
        if (present.number() == tenure) {
            return;
        }
        tenure = present.number();
        buckets.clear();
        switch (present.predecessors()) {
            case NONE -> begin(Double.MAX_VALUE, present.sinceMs(), present.sinceMs());
            case LONG_AGO -> begin(TAKEOVER_TOKENS, present.sinceMs(), present.sinceMs() + HeadChanges.OVERLAP_MS);
            case RECENT ->
                begin(0, present.sinceMs() + HeadChanges.OVERLAP_MS, present.sinceMs() + HeadChanges.OVERLAP_MS);
        }
    }

    private void begin(double tokens, long fromMs, long untilMs) {
        initialTokens = tokens;
        grantsFromMs = fromMs;
        overlapUntilMs = untilMs;
    }

    /** Grants what may be had of what a node asks for. */
    public QuotaLeave grant(QuotaNeed asked, TenantLimit limit, long nowMs) {
        if (nowMs < grantsFromMs) {
            return new QuotaLeave(asked.tenant(), 0, (int) (grantsFromMs - nowMs));
        }
        Bucket bucket = buckets.computeIfAbsent(asked.tenant(), tenant -> fresh());
        double most = limit.bucketSize();
        double refill = refill(limit, bucket.refilledMs, nowMs);
        bucket.tokens = Math.min(most, bucket.tokens + refill);
        bucket.unmet = Math.max(0, bucket.unmet - refill);
        bucket.refilledMs = nowMs;
        int needed = (int) Math.min(asked.need(), bucket.tokens);
        bucket.tokens -= needed;
        int spare = (int) Math.max(0, bucket.tokens - most * EXTRA_FROM_PART);
        int extra = Math.min(asked.extra(), spare);
        bucket.tokens -= extra;
        bucket.unmet += asked.need() - needed;
        int waitMs = needed < asked.need() ? (int) Math.ceil(bucket.unmet / ratePerS(limit, nowMs) * MS_PER_S) : 0;
        return new QuotaLeave(asked.tenant(), needed + extra, waitMs);
    }

    private double refill(TenantLimit limit, long fromMs, long toMs) {
        long changeMs = Math.min(toMs, Math.max(fromMs, overlapUntilMs));
        double overlapping = ratePerS(limit, fromMs) * (changeMs - fromMs);
        double alone = ratePerS(limit, toMs) * (toMs - changeMs);
        return (overlapping + alone) / MS_PER_S;
    }

    private double ratePerS(TenantLimit limit, long atMs) {
        return atMs < overlapUntilMs ? limit.ratePerS() * TAKEOVER_PART : limit.refillPerS();
    }

    private Bucket fresh() {
        Bucket bucket = new Bucket();
        bucket.tokens = initialTokens;
        bucket.refilledMs = grantsFromMs;
        return bucket;
    }
}
