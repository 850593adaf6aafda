package ringspindle.loadbalancing;

import java.util.Arrays;
import ringspindle.retry.AttemptOutcome;
import ringspindle.telemetry.AttemptCounts;
import ringspindle.telemetry.RequestKind;

/** What this node saw of one engine lately, by kind of request: four buckets of steady time, used in turn. */
final class AttemptWindow {
    private static final int BUCKETS = 4;
    private static final int BUCKET_MS = 500;
    private static final int ANSWERED = 0;
    private static final int NOT_RUN = 1;
    private static final int FAILED = 2;
    private static final int FIRSTS = 3;
    private static final int WIDTH = FIRSTS + AttemptCounts.BUCKET_MS.length;
    private static final int KINDS = RequestKind.values().length;

    private final int[] counts = new int[BUCKETS * KINDS * WIDTH];
    private final int[] running = new int[KINDS];
    private final long[] tokens = new long[KINDS];
    private long bucket = Long.MIN_VALUE;

    private void move(long nowMs) {
        long now = Math.floorDiv(nowMs, BUCKET_MS);
        if (bucket == Long.MIN_VALUE || now - bucket >= BUCKETS) {
            Arrays.fill(counts, 0);
        } else {
            for (long b = bucket + 1; b <= now; b++) {
                int at = (int) Math.floorMod(b, BUCKETS) * KINDS * WIDTH;
                Arrays.fill(counts, at, at + KINDS * WIDTH, 0);
            }
        }
        bucket = Math.max(bucket, now);
    }

    private int at(long b, RequestKind k) {
        return ((int) Math.floorMod(b, BUCKETS) * KINDS + k.ordinal()) * WIDTH;
    }

    void began(RequestKind k, long weight, long nowMs) {
        move(nowMs);
        running[k.ordinal()]++;
        tokens[k.ordinal()] += weight;
    }

    void ended(RequestKind k, long weight, AttemptOutcome end, long firstMs, long nowMs) {
        move(nowMs);
        int i = k.ordinal();
        running[i] = Math.max(0, running[i] - 1);
        tokens[i] = running[i] == 0 ? 0 : Math.max(0, tokens[i] - weight);
        int at = at(bucket, k);
        if (end == AttemptOutcome.ANSWERED) {
            counts[at + ANSWERED]++;
            if (firstMs >= 0) {
                counts[at + FIRSTS + AttemptCounts.bucket(firstMs)]++;
            }
        } else if (end == AttemptOutcome.NOT_RUN) {
            counts[at + NOT_RUN]++;
        } else if (end.againstEngine()) {
            counts[at + FAILED]++;
        }
    }

    AttemptCounts tally(RequestKind k, long nowMs) {
        move(nowMs);
        int[] sum = new int[WIDTH];
        for (long b = bucket - BUCKETS + 1; b <= bucket; b++) {
            int at = at(b, k);
            for (int i = 0; i < WIDTH; i++) {
                sum[i] += counts[at + i];
            }
        }
        return new AttemptCounts(
                sum[ANSWERED],
                sum[NOT_RUN],
                sum[FAILED],
                running[k.ordinal()],
                tokens[k.ordinal()],
                Arrays.copyOfRange(sum, FIRSTS, WIDTH));
    }

    AttemptCounts all(long nowMs) {
        AttemptCounts out = AttemptCounts.NONE;
        for (RequestKind k : RequestKind.values()) {
            out = out.merge(tally(k, nowMs));
        }
        return out;
    }
}
