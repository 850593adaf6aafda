package ringspindle.telemetry;

/** What became of a report. */
public enum ReportVerdict {
    /** It is the newest of its source. */
    NEWEST,
    /** Its source has said something newer, or just this. */
    OLD,
    /** It names more engines than a source may. */
    OVERSIZED,
    /** A number or a kind is out of its range. */
    GARBLED;

    /** True if it changed nothing and shows a fault; {@code ReportVerdict.GARBLED.refused()}. */
    public boolean refused() {
        return this == OVERSIZED || this == GARBLED;
    }
}
