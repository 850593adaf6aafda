package ringspindle.replication;

/**
 * Tracks what the successor in the chain has been sent and has acknowledged.
 *
 * <p>Invariants: entries follow a snapshot, in order and without a gap; the acknowledged position never decreases
 * within a view.
 */
final class SuccessorLink {
    /** The delay before unacknowledged data is sent again; it doubles with each attempt up to the maximum. */
    private static final long RESEND_DELAY_MS = 400;

    private static final long MAX_RESEND_DELAY_MS = 6400;
    private static final long NO_SEQ = -1;

    /** What to send to the successor next. */
    private sealed interface Transfer {
        /** A snapshot, at the start of a view or a connection, or because acknowledgements are missing. */
        record SnapshotDue() implements Transfer {}

        /** Entries after the last one sent. */
        record Streaming(long sentSeq, long sentMs) implements Transfer {}
    }

    private Transfer transfer = new Transfer.SnapshotDue();
    private long acknowledgedSeq = NO_SEQ;
    private long resendDelayMs = RESEND_DELAY_MS;

    /** Starts a new view, in which nothing has been sent yet. */
    void startView() {
        onReconnected();
        acknowledgedSeq = NO_SEQ;
    }

    /** Called for a new connection; what was sent on an older one may be lost. */
    void onReconnected() {
        requireSnapshot();
        resendDelayMs = RESEND_DELAY_MS;
    }

    /** Makes a snapshot due, because the state was replaced or the successor seems to lack one. */
    void requireSnapshot() {
        transfer = new Transfer.SnapshotDue();
    }

    boolean snapshotDue() {
        return transfer instanceof Transfer.SnapshotDue;
    }

    /** The last sequence number sent, -1 if a snapshot is due. */
    long sentSeq() {
        return transfer instanceof Transfer.Streaming streaming ? streaming.sentSeq() : NO_SEQ;
    }

    /** Called when a snapshot or an entry is sent. */
    void sent(long seq, long nowMs) {
        transfer = new Transfer.Streaming(seq, nowMs);
    }

    void acknowledged(long seq) {
        acknowledgedSeq = Math.max(acknowledgedSeq, seq);
        resendDelayMs = RESEND_DELAY_MS;
    }

    /** Makes a snapshot due if the successor has not acknowledged everything up to the number in time. */
    void tick(long newestSeq, long nowMs) {
        if (transfer instanceof Transfer.Streaming streaming
                && acknowledgedSeq < newestSeq
                && nowMs - streaming.sentMs() > resendDelayMs) {
            // a large snapshot over a slow link takes long: resending at a fixed interval would never let it complete
            resendDelayMs = Math.min(resendDelayMs * 2, MAX_RESEND_DELAY_MS);
            requireSnapshot();
        }
    }

    @Override
    public String toString() {
        return sentSeq() + "/" + acknowledgedSeq;
    }
}
