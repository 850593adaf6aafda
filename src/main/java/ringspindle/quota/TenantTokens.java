package ringspindle.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import ringspindle.protocol.TenantMessage.QuotaLeave;
import ringspindle.protocol.TenantMessage.QuotaNeed;

/**
 * Tokens of tenants at one data node: those at hand, and requests that wait for some. One asking is under way at a time. Not thread
 * safe; times are of the node's steady clock, in ms.
 *
 * @param <W> who waits
 */
public final class TenantTokens<W> {
    /** An asking without an answer is given up after this; its tokens would be good for no longer. */
    static final int ANSWER_MS = TenantBuckets.TOKEN_MS;
    /** A request waits for a token that comes so soon, and is refused at once if it takes longer. */
    private static final int SHORT_WAIT_MS = 150;
    /** A request waits no longer than this for an answer of any kind. */
    private static final int PATIENCE_MS = 700;
    /** For so long ahead tokens are asked for by what was taken lately. */
    private static final double AHEAD_S = 0.2;

    private static final double DECAY_PER_ASK = 0.7;

    /** Who is told what, after a call. */
    public record Told<W>(W waiter, Verdict verdict, int retryAfterMs) {}

    /** What becomes of a request. */
    public enum Verdict {
        /** It may be admitted. */
        GRANTED,
        /** Its tenant has had what it may have. */
        OVER_QUOTA,
        /** Nobody could say. */
        UNKNOWN
    }

    private record Waiting<W>(W waiter, long sinceMs) {}

    private static final class Purse<W> {
        final Deque<Waiting<W>> waiting = new ArrayDeque<>();
        int tokens;
        long goodUntilMs;
        double taken;
    }

    private final Map<String, Purse<W>> purses = new HashMap<>();
    private long seq;
    /** When the asking under way was sent, below 0 if none is. */
    private long askedMs = -1;

    /**
     * No tokens at hand.
     *
     * @param startSeq a random number: a grant is matched by its number alone, and one for an earlier process at this address may
     *     come late
     */
    public TenantTokens(long startSeq) {
        seq = startSeq;
    }

    /** Takes a token if there is one at hand; else the request waits, and is told by another call. */
    public boolean take(String tenant, W waiter, long nowMs) {
        Purse<W> purse = purses.computeIfAbsent(tenant, name -> new Purse<>());
        purse.taken++;
        if (purse.tokens > 0 && nowMs <= purse.goodUntilMs) {
            purse.tokens--;
            return true;
        }
        purse.waiting.add(new Waiting<>(waiter, nowMs));
        return false;
    }

    /** True if an asking should go out now. */
    public boolean isAskDue() {
        return askedMs < 0 && purses.values().stream().anyMatch(purse -> !purse.waiting.isEmpty());
    }

    /** What is to be asked for; its number is {@link #seq}. */
    public List<QuotaNeed> ask(long nowMs) {
        List<QuotaNeed> rows = new ArrayList<>();
        purses.forEach((tenant, purse) -> {
            if (!purse.waiting.isEmpty()) {
                int extra = (int) (purse.taken * AHEAD_S);
                rows.add(new QuotaNeed(tenant, purse.waiting.size(), extra));
            }
            purse.taken *= DECAY_PER_ASK;
        });
        askedMs = nowMs;
        seq++;
        return rows;
    }

    /** The number of the last asking. */
    public long seq() {
        return seq;
    }

    /** An answer came; returns whom to tell. */
    public List<Told<W>> granted(long answered, List<QuotaLeave> rows, long nowMs) {
        List<Told<W>> told = new ArrayList<>();
        if (answered != seq || askedMs < 0) {
            return told;
        }
        long goodUntilMs = askedMs + TenantBuckets.TOKEN_MS;
        askedMs = -1;
        if (nowMs > goodUntilMs) {
            return told;
        }
        for (QuotaLeave row : rows) {
            Purse<W> purse = purses.get(row.tenant());
            if (purse != null) {
                purse.tokens = row.granted();
                purse.goodUntilMs = goodUntilMs;
                serve(purse, row.waitMs(), told);
            }
        }
        return told;
    }

    private void serve(Purse<W> purse, int waitMs, List<Told<W>> told) {
        while (purse.tokens > 0 && !purse.waiting.isEmpty()) {
            purse.tokens--;
            told.add(new Told<>(purse.waiting.poll().waiter(), Verdict.GRANTED, 0));
        }
        if (waitMs > SHORT_WAIT_MS) {
            while (!purse.waiting.isEmpty()) {
                told.add(new Told<>(purse.waiting.poll().waiter(), Verdict.OVER_QUOTA, waitMs));
            }
        }
    }

    /** True if an asking is under way that will not be answered in time. */
    public boolean isOverdue(long nowMs) {
        return askedMs >= 0 && nowMs - askedMs > ANSWER_MS;
    }

    /** Lets time go on; returns whom to tell. True in {@link #isAskDue} may follow. */
    public List<Told<W>> tick(long nowMs) {
        if (isOverdue(nowMs)) {
            askedMs = -1;
        }
        List<Told<W>> told = new ArrayList<>();
        for (Purse<W> purse : purses.values()) {
            for (Iterator<Waiting<W>> each = purse.waiting.iterator(); each.hasNext(); ) {
                Waiting<W> waiting = each.next();
                if (nowMs - waiting.sinceMs() > PATIENCE_MS) {
                    each.remove();
                    told.add(new Told<>(waiting.waiter(), Verdict.UNKNOWN, 0));
                }
            }
        }
        purses.values().removeIf(purse -> purse.waiting.isEmpty() && nowMs > purse.goodUntilMs && purse.taken < 1);
        return told;
    }
}
