package ringspindle.loadbalancing;

import java.util.Arrays;
import ringspindle.retry.AttemptOutcome;
import ringspindle.telemetry.AttemptCounts;
import ringspindle.telemetry.LatencyHistogram;
import ringspindle.telemetry.RequestKind;

/**
 * Attempts of this node at one engine, by kind of request: what runs now, and how attempts ended in the last {@value
 * #BUCKETS} buckets of {@value #BUCKET_MS} ms of steady time.
 *
 * <p>Counts lie in one array, as there is a window for each engine and each attempt goes through it. Confined to the lock of
 * {@link EngineTableLoadBalancer}.
 */
final class AttemptWindow {
    private static final int BUCKETS = 4;
    private static final int BUCKET_MS = 500;
    private static final int KINDS = RequestKind.COUNT;
    private static final long UNSET = Long.MIN_VALUE;

    /** Columns of the array; latencies have one for each bucket of {@link LatencyHistogram}. */
    private static final int ANSWERED = 0;

    private static final int NOT_RUN = 1;
    private static final int FAILED = 2;
    private static final int LATENCIES = 3;
    private static final int COLUMNS = LATENCIES + LatencyHistogram.BUCKETS;

    private final int[] counts = new int[BUCKETS * KINDS * COLUMNS];
    private final int[] running = new int[KINDS];
    private final long[] tokens = new long[KINDS];
    private long bucket = UNSET;

    /** An attempt starts. */
    void start(RequestKind kind, long attemptTokens, long nowMs) {
        advance(nowMs);
        running[kind.code()]++;
        tokens[kind.code()] += attemptTokens;
    }

    /**
     * An attempt ends.
     *
     * @param firstMs time to the first byte, in ms; below 0 if none came
     */
    void end(RequestKind kind, long attemptTokens, AttemptOutcome outcome, long firstMs, long nowMs) {
        advance(nowMs);
        int k = kind.code();
        running[k] = Math.max(0, running[k] - 1);
        // without attempts there are no tokens, whatever was counted
        tokens[k] = running[k] == 0 ? 0 : Math.max(0, tokens[k] - attemptTokens);
        int row = row(bucket, kind);
        if (outcome == AttemptOutcome.ANSWERED) {
            counts[row + ANSWERED]++;
            if (firstMs >= 0) {
                counts[row + LATENCIES + LatencyHistogram.bucketOf(firstMs)]++;
            }
        } else if (outcome == AttemptOutcome.NOT_RUN) {
            counts[row + NOT_RUN]++;
        } else if (outcome.againstEngine()) {
            counts[row + FAILED]++;
        }
    }

    /** What the window holds of one kind. */
    AttemptCounts counts(RequestKind kind, long nowMs) {
        advance(nowMs);
        int[] sum = new int[COLUMNS];
        for (long summed = bucket - BUCKETS + 1; summed <= bucket; summed++) {
            int row = row(summed, kind);
            for (int column = 0; column < COLUMNS; column++) {
                sum[column] += counts[row + column];
            }
        }
        LatencyHistogram latencies = new LatencyHistogram(
                sum[LATENCIES],
                sum[LATENCIES + 1],
                sum[LATENCIES + 2],
                sum[LATENCIES + 3],
                sum[LATENCIES + 4],
                sum[LATENCIES + 5]);
        return new AttemptCounts(
                sum[ANSWERED], sum[NOT_RUN], sum[FAILED], running[kind.code()], tokens[kind.code()], latencies);
    }

    /** What the window holds of all kinds together. */
    AttemptCounts countsOfAllKinds(long nowMs) {
        AttemptCounts sum = AttemptCounts.NONE;
        for (RequestKind kind : RequestKind.values()) {
            sum = sum.merge(counts(kind, nowMs));
        }
        return sum;
    }

    /** Moves on to now and clears the buckets that are entered; time never goes back. */
    private void advance(long nowMs) {
        long now = Math.floorDiv(nowMs, BUCKET_MS);
        if (bucket == UNSET || now - bucket >= BUCKETS) {
            Arrays.fill(counts, 0);
        } else {
            for (long entered = bucket + 1; entered <= now; entered++) {
                int from = bucketStart(entered);
                Arrays.fill(counts, from, from + KINDS * COLUMNS, 0);
            }
        }
        bucket = Math.max(bucket, now);
    }

    private static int bucketStart(long bucket) {
        return (int) Math.floorMod(bucket, BUCKETS) * KINDS * COLUMNS;
    }

    private static int row(long bucket, RequestKind kind) {
        return bucketStart(bucket) + kind.code() * COLUMNS;
    }
}
