package ringspindle.shard;

import ringspindle.protocol.NodeId;

/** How far another replica has come, as its leader knows. Confined to {@link Leadership}. */
final class FollowerProgress {
    private final ShardMember replica;
    private final boolean member;
    /** Nothing is committed without it: a member, or a learner that was reported as synced. */
    private boolean required;
    /** From behind this entry on it is sent what it may lack. */
    private long nextAfterSeq;
    /** Up to which entry it holds this log on disk, -1 while unknown. */
    private long matchedSeq = -1;
    /** The last round that it answered. */
    private long ackedRound;
    /** The last round that it was sent, and whether the answer is still due. */
    private long sentRound;

    private boolean awaitsAck;
    private long sentMs;
    /** Since when it has owed an answer, over all that was sent again. */
    private long owesSinceMs;

    FollowerProgress(ShardMember replica, boolean member, long nextAfterSeq) {
        this.replica = replica;
        this.member = member;
        this.nextAfterSeq = nextAfterSeq;
        required = member;
    }

    NodeId node() {
        return replica.node();
    }

    long store() {
        return replica.store();
    }

    boolean isMember() {
        return member;
    }

    boolean isRequired() {
        return required;
    }

    void require() {
        required = true;
    }

    /** True once it has followed this leader. */
    boolean isEstablished() {
        return matchedSeq >= 0;
    }

    long matchedSeq() {
        return matchedSeq;
    }

    long nextAfterSeq() {
        return nextAfterSeq;
    }

    long ackedRound() {
        return ackedRound;
    }

    long sentRound() {
        return sentRound;
    }

    boolean awaitsAck() {
        return awaitsAck;
    }

    void onSent(long round, long nowMs) {
        if (!awaitsAck && ackedRound == sentRound) {
            owesSinceMs = nowMs;
        }
        sentRound = round;
        awaitsAck = true;
        sentMs = nowMs;
    }

    /** What was sent may be lost: it is sent again. */
    void sendAgain() {
        awaitsAck = false;
    }

    boolean isOverdue(int afterMs, long nowMs) {
        return awaitsAck && nowMs - sentMs > afterMs;
    }

    /** True if it has owed an answer for longer than that. */
    boolean lags(int afterMs, long nowMs) {
        return ackedRound != sentRound && nowMs - owesSinceMs > afterMs;
    }

    void onMatched(long round, long seq) {
        ackedRound = Math.max(ackedRound, round);
        awaitsAck &= round < sentRound;
        matchedSeq = Math.max(matchedSeq, seq);
        nextAfterSeq = Math.max(nextAfterSeq, matchedSeq);
    }

    /** It lacks the entry that was taken for its last one. */
    void onMismatch(long round, long fromSeq) {
        ackedRound = Math.max(ackedRound, round);
        if (round == sentRound) {
            awaitsAck = false;
            nextAfterSeq = Math.min(fromSeq, nextAfterSeq - 1);
        }
    }
}
