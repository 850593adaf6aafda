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
    /** Sums of all buckets, by kind and column. */
    private final int[] sums = new int[KINDS * COLUMNS];

    private final int[] running = new int[KINDS];
    private final long[] tokens = new long[KINDS];
    private long bucket = UNSET;
    /** Counted cells of all buckets together. */
    private int endedInWindow;

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
        if (outcome == AttemptOutcome.ANSWERED) {
            count(kind, ANSWERED);
            if (firstMs >= 0) {
                count(kind, LATENCIES + LatencyHistogram.bucketOf(firstMs));
            }
        } else if (outcome == AttemptOutcome.NOT_RUN) {
            count(kind, NOT_RUN);
        } else if (outcome.againstEngine()) {
            count(kind, FAILED);
        }
    }

    private void count(RequestKind kind, int column) {
        int cell = kind.code() * COLUMNS + column;
        counts[bucketStart(bucket) + cell]++;
        sums[cell]++;
        endedInWindow++;
    }

    /** True if nothing runs and no attempt ended within the window. */
    boolean isEmpty(long nowMs) {
        advance(nowMs);
        boolean runs = false;
        for (int ofKind : running) {
            runs |= ofKind > 0;
        }
        return !runs && endedInWindow == 0;
    }

    /** What the window holds of one kind. */
    AttemptCounts counts(RequestKind kind, long nowMs) {
        advance(nowMs);
        int k = kind.code();
        if (endedInWindow == 0 && running[k] == 0) {
            return AttemptCounts.NONE;
        }
        int row = k * COLUMNS;
        int latency = row + LATENCIES;
        LatencyHistogram latencies = new LatencyHistogram(
                sums[latency],
                sums[latency + 1],
                sums[latency + 2],
                sums[latency + 3],
                sums[latency + 4],
                sums[latency + 5]);
        return new AttemptCounts(
                sums[row + ANSWERED], sums[row + NOT_RUN], sums[row + FAILED], running[k], tokens[k], latencies);
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
        if (bucket != UNSET && now <= bucket) {
            return;
        }
        if (endedInWindow > 0) {
            if (now - bucket >= BUCKETS) {
                Arrays.fill(counts, 0);
                Arrays.fill(sums, 0);
                endedInWindow = 0;
            } else {
                for (long entered = bucket + 1; entered <= now; entered++) {
                    clear(entered);
                }
            }
        }
        bucket = now;
    }

    private void clear(long entered) {
        int from = bucketStart(entered);
        for (int cell = 0; cell < KINDS * COLUMNS; cell++) {
            int old = counts[from + cell];
            if (old > 0) {
                sums[cell] -= old;
                endedInWindow -= old;
                counts[from + cell] = 0;
            }
        }
    }

    private static int bucketStart(long bucket) {
        return (int) Math.floorMod(bucket, BUCKETS) * KINDS * COLUMNS;
    }
}
