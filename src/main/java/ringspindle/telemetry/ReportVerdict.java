package ringspindle.telemetry;

/** What became of a report. The names appear in log lines. */
public enum ReportVerdict {
    /** It is the newest of its source, and counts. */
    NEWEST,
    /** Its source has reported something newer, or just this. */
    OLD,
    /** It names more engines than a source may. */
    OVERSIZED,
    /** A number or a kind is out of its range. */
    GARBLED;

    /** True if the report was rejected as faulty and changed nothing. */
    public boolean isRejected() {
        return this == OVERSIZED || this == GARBLED;
    }
}
