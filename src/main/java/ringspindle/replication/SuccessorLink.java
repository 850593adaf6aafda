package ringspindle.replication;

/**
 * How far the successor in the chain has been sent this member's copy, and has confirmed it.
 *
 * <p>Invariants: entries follow a snapshot, in order and without a gap; what was confirmed in a view stays confirmed.
 */
final class SuccessorLink {
    /** What is not confirmed by the successor is sent again after so long, then after twice as long. */
    private static final long RESEND_DELAY_MS = 400;

    private static final long MAX_RESEND_DELAY_MS = 6400;
    private static final long NO_SEQ = -1;

    /** What the successor is sent next. */
    private sealed interface Transfer {
        /** A snapshot: the first of the view, or of a new connection, or since nothing was confirmed. */
        record SnapshotDue() implements Transfer {}

        /** Entries behind what was sent last. */
        record Streaming(long sentSeq, long sentMs) implements Transfer {}
    }

    private Transfer transfer = new Transfer.SnapshotDue();
    private long acknowledgedSeq = NO_SEQ;
    private long resendDelayMs = RESEND_DELAY_MS;

    /** A new view: nothing of it has been sent to its successor. */
    void startView() {
        onReconnected();
        acknowledgedSeq = NO_SEQ;
    }

    /** The connection stands anew: what went over an older one may be lost. */
    void onReconnected() {
        requireSnapshot();
        resendDelayMs = RESEND_DELAY_MS;
    }

    /** A snapshot is due, of a copy that was replaced or since the successor seems to lack one. */
    void requireSnapshot() {
        transfer = new Transfer.SnapshotDue();
    }

    boolean snapshotDue() {
        return transfer instanceof Transfer.SnapshotDue;
    }

    /** The sequence number that was sent last, -1 if a snapshot is due. */
    long sentSeq() {
        return transfer instanceof Transfer.Streaming streaming ? streaming.sentSeq() : NO_SEQ;
    }

    /** A snapshot or an entry goes out. */
    void sent(long seq, long nowMs) {
        transfer = new Transfer.Streaming(seq, nowMs);
    }

    void acknowledged(long seq) {
        acknowledgedSeq = Math.max(acknowledgedSeq, seq);
        resendDelayMs = RESEND_DELAY_MS;
    }

    /** Starts over if the successor has not confirmed all up to that number for too long. */
    void tick(long newestSeq, long nowMs) {
        if (transfer instanceof Transfer.Streaming streaming
                && acknowledgedSeq < newestSeq
                && nowMs - streaming.sentMs() > resendDelayMs) {
            // a large snapshot over a slow link takes its time: sending it ever more often would never end
            resendDelayMs = Math.min(resendDelayMs * 2, MAX_RESEND_DELAY_MS);
            requireSnapshot();
        }
    }

    @Override
    public String toString() {
        return sentSeq() + "/" + acknowledgedSeq;
    }
}
