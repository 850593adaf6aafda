package ringspindle.loadbalancing;

import java.util.Arrays;
import ringspindle.retry.AttemptOutcome;
import ringspindle.telemetry.AttemptCounts;
import ringspindle.telemetry.LatencyHistogram;
import ringspindle.telemetry.RequestKind;

/**
 * Sliding window over this node's attempts at one engine, by kind of request: attempts in flight, and outcomes and
 * latencies of the last {@value #BUCKETS} buckets of {@value #BUCKET_MS} ms of monotonic time.
 *
 * <p>All counts are in one flat array, because every engine has a window and every attempt updates it. Confined to the
 * lock of {@link EngineTableLoadBalancer}.
 */
final class AttemptWindow {
    private static final int BUCKETS = 4;
    private static final int BUCKET_MS = 500;
    private static final int KINDS = RequestKind.COUNT;
    private static final long UNSET = Long.MIN_VALUE;

    /** Columns of the array; latencies have one column for each bucket of {@link LatencyHistogram}. */
    private static final int ANSWERED = 0;

    private static final int NOT_RUN = 1;
    private static final int FAILED = 2;
    private static final int LATENCIES = 3;
    private static final int COLUMNS = LATENCIES + LatencyHistogram.BUCKETS;

    private final int[] counts = new int[BUCKETS * KINDS * COLUMNS];
    /** Sums over all buckets, by kind and column. */
    private final int[] sums = new int[KINDS * COLUMNS];

    private final int[] running = new int[KINDS];
    private final long[] tokensInFlight = new long[KINDS];
    private long bucket = UNSET;
    /** Sum of {@link #counts}; 0 if no attempt was counted within the window. */
    private int totalCount;

    /** Records the start of an attempt. */
    void start(RequestKind kind, long attemptTokens, long nowMs) {
        advance(nowMs);
        running[kind.code()]++;
        tokensInFlight[kind.code()] += attemptTokens;
    }

    /**
     * Records the end of an attempt.
     *
     * @param firstByteMs time to first byte, in ms; negative if no byte was received
     */
    void end(RequestKind kind, long attemptTokens, AttemptOutcome outcome, long firstByteMs, long nowMs) {
        advance(nowMs);
        int kindCode = kind.code();
        running[kindCode] = Math.max(0, running[kindCode] - 1);
        // no running attempts means no tokens in flight, whatever was counted
        tokensInFlight[kindCode] = running[kindCode] == 0 ? 0 : Math.max(0, tokensInFlight[kindCode] - attemptTokens);
        if (outcome == AttemptOutcome.ANSWERED) {
            increment(kind, ANSWERED);
            if (firstByteMs >= 0) {
                increment(kind, LATENCIES + LatencyHistogram.bucketOf(firstByteMs));
            }
        } else if (outcome == AttemptOutcome.NOT_RUN) {
            increment(kind, NOT_RUN);
        } else if (outcome.countsAsEngineFailure()) {
            increment(kind, FAILED);
        }
    }

    private void increment(RequestKind kind, int column) {
        int cell = kind.code() * COLUMNS + column;
        counts[bucketOffset(bucket) + cell]++;
        sums[cell]++;
        totalCount++;
    }

    /** Returns true if no attempt is running and none was counted within the window. */
    boolean isEmpty(long nowMs) {
        advance(nowMs);
        boolean anyRunning = false;
        for (int runningOfKind : running) {
            anyRunning |= runningOfKind > 0;
        }
        return !anyRunning && totalCount == 0;
    }

    /** Returns the counts of one kind of request. */
    AttemptCounts counts(RequestKind kind, long nowMs) {
        advance(nowMs);
        int kindCode = kind.code();
        if (totalCount == 0 && running[kindCode] == 0) {
            return AttemptCounts.NONE;
        }
        int row = kindCode * COLUMNS;
        int latency = row + LATENCIES;
        LatencyHistogram latencies = new LatencyHistogram(
                sums[latency],
                sums[latency + 1],
                sums[latency + 2],
                sums[latency + 3],
                sums[latency + 4],
                sums[latency + 5]);
        return new AttemptCounts(
                sums[row + ANSWERED],
                sums[row + NOT_RUN],
                sums[row + FAILED],
                running[kindCode],
                tokensInFlight[kindCode],
                latencies);
    }

    /** Returns the counts summed over all kinds of request. */
    AttemptCounts countsOfAllKinds(long nowMs) {
        AttemptCounts sum = AttemptCounts.NONE;
        for (RequestKind kind : RequestKind.values()) {
            sum = sum.merge(counts(kind, nowMs));
        }
        return sum;
    }

    /** Moves the window to the current time and clears the buckets that it enters. Time must not go backwards. */
    private void advance(long nowMs) {
        long now = Math.floorDiv(nowMs, BUCKET_MS);
        if (bucket != UNSET && now <= bucket) {
            return;
        }
        if (totalCount > 0) {
            if (now - bucket >= BUCKETS) {
                Arrays.fill(counts, 0);
                Arrays.fill(sums, 0);
                totalCount = 0;
            } else {
                for (long newBucket = bucket + 1; newBucket <= now; newBucket++) {
                    clear(newBucket);
                }
            }
        }
        bucket = now;
    }

    private void clear(long newBucket) {
        int from = bucketOffset(newBucket);
        for (int cell = 0; cell < KINDS * COLUMNS; cell++) {
            int expired = counts[from + cell];
            if (expired > 0) {
                sums[cell] -= expired;
                totalCount -= expired;
                counts[from + cell] = 0;
            }
        }
    }

    private static int bucketOffset(long bucket) {
        return (int) Math.floorMod(bucket, BUCKETS) * KINDS * COLUMNS;
    }
}
