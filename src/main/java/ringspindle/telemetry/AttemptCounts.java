package ringspindle.telemetry;

import java.util.Arrays;
import java.util.Objects;

/**
 * What was seen of one engine and kind of request within a window: attempts by outcome, what runs now, and how long
 * first bytes took, in six buckets that can be added. Clients' cancels and parents' deadlines are no part of it.
 *
 * @param firsts how many first bytes came within each of {@link #BUCKET_MS}, the last bucket open
 */
public record AttemptCounts(int answered, int notRun, int failed, int running, long tokens, int[] firsts) {
    /** Upper ends of the buckets, in ms. */
    public static final int[] BUCKET_MS = {50, 150, 400, 1000, 2500, Integer.MAX_VALUE};
    /** The identity of {@link #merge}. */
    public static final AttemptCounts NONE = new AttemptCounts(0, 0, 0, 0, 0, new int[BUCKET_MS.length]);

    /** Both together; {@code a.merge(b).equals(b.merge(a))}. */
    public AttemptCounts merge(AttemptCounts o) {
        int[] f = firsts.clone();
        for (int i = 0; i < f.length; i++) {
            f[i] += o.firsts[i];
        }
        return new AttemptCounts(
                answered + o.answered, notRun + o.notRun, failed + o.failed, running + o.running, tokens + o.tokens, f);
    }

    /** The bucket of a time; {@code AttemptCounts.bucket(120)} is 1. */
    public static int bucket(long firstMs) {
        int i = 0;
        while (firstMs > BUCKET_MS[i]) {
            i++;
        }
        return i;
    }

    /** True if nothing was seen and nothing runs; {@code AttemptCounts.NONE.empty()}. */
    public boolean empty() {
        return answered == 0 && notRun == 0 && failed == 0 && running == 0 && tokens == 0;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof AttemptCounts t
                && answered == t.answered
                && notRun == t.notRun
                && failed == t.failed
                && running == t.running
                && tokens == t.tokens
                && Arrays.equals(firsts, t.firsts);
    }

    @Override
    public int hashCode() {
        return Objects.hash(answered, notRun, failed, running, tokens, Arrays.hashCode(firsts));
    }
}
