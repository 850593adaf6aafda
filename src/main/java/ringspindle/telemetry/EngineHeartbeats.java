package ringspindle.telemetry;

import ringspindle.protocol.Message.Engine;

/** One engine's heartbeats as {@link EnginePresence} knows them. Compared by identity; not thread safe. */
final class EngineHeartbeats {
    /** The number before the first heartbeat. */
    static final long NO_SEQ = -1;

    private static final long NEVER = Long.MIN_VALUE / 2;
    /** How far the rest of a warm-up may be from what was reported before, until that is a change, in ms. */
    private static final int WARMUP_TOLERANCE_MS = 600;

    private final String id;
    private Engine report;
    private long reportedMs;
    private long seq = NO_SEQ;
    private long heardHereMs = NEVER;
    /** The latest time at which there was a sign of the engine, here or elsewhere. */
    private long evidenceMs;

    private boolean silent;

    EngineHeartbeats(String id, long evidenceMs) {
        this.id = id;
        this.evidenceMs = evidenceMs;
    }

    String id() {
        return id;
    }

    /** What the engine last reported of itself; null if that is not known. */
    Engine report() {
        return report;
    }

    /** Number of the last heartbeat. */
    long seq() {
        return seq;
    }

    boolean isSilent() {
        return silent;
    }

    void setSilent(boolean nowSilent) {
        silent = nowSilent;
    }

    void heardHere(long nowMs) {
        heardHereMs = nowMs;
        heardElsewhere(nowMs);
    }

    void heardElsewhere(long heardMs) {
        evidenceMs = Math.max(evidenceMs, heardMs);
    }

    /** The engine is gone, whatever was heard of it. */
    void forgetEvidence() {
        evidenceMs = NEVER;
    }

    /** Time since the latest sign of the engine, in ms; below 0 within the grace after a start. */
    long ageMs(long nowMs) {
        return nowMs - evidenceMs;
    }

    long heardHereAgeMs(long nowMs) {
        return nowMs - heardHereMs;
    }

    boolean wasHeardHereWithin(long withinMs, long nowMs) {
        return heardHereAgeMs(nowMs) < withinMs;
    }

    boolean isOlderThan(long afterMs, long nowMs) {
        return nowMs - Math.max(evidenceMs, reportedMs) > afterMs;
    }

    /** Takes over a later heartbeat's report if it differs; returns whether it did. */
    boolean update(Engine newReport, long newSeq, long nowMs) {
        boolean changed = newSeq > seq && (report == null || differs(newReport, nowMs));
        seq = Math.max(seq, newSeq);
        if (changed) {
            report = newReport;
            reportedMs = nowMs;
        }
        return changed;
    }

    /** Takes over a report that is later than the last, or the first; returns whether it was. */
    boolean updateIfNewer(Engine newReport, long newSeq, long nowMs) {
        if (newSeq <= seq && report != null) {
            return false;
        }
        seq = Math.max(seq, newSeq);
        report = newReport;
        reportedMs = nowMs;
        return true;
    }

    private boolean differs(Engine other, long nowMs) {
        return report.capacity() != other.capacity()
                || report.draining() != other.draining()
                || report.weights() != other.weights()
                || report.remainingMs() != other.remainingMs()
                || !report.service().equals(other.service())
                || !report.address().equals(other.address())
                || !report.zone().equals(other.zone())
                || !report.revision().equals(other.revision())
                || warmupDiffers(other, nowMs);
    }

    /** A warm-up that goes on as reported is no change, its end is. */
    private boolean warmupDiffers(Engine other, long nowMs) {
        long expectedMs = Math.max(0, report.coldMs() - (nowMs - reportedMs));
        boolean ended = report.coldMs() > 0 && other.coldMs() == 0;
        return ended || Math.abs(other.coldMs() - expectedMs) > WARMUP_TOLERANCE_MS;
    }
}
