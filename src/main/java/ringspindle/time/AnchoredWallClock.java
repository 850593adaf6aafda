package ringspindle.time;

/**
 * The time of day as it was when this was made, gone on with the monotonic clock: later steps of the machine's time of day have no
 * effect. For numbering windows of the wall clock, and for nothing that decides.
 */
public final class AnchoredWallClock {
    private final long wallMinusSteadyMs;

    private AnchoredWallClock(long wallMinusSteadyMs) {
        this.wallMinusSteadyMs = wallMinusSteadyMs;
    }

    /** Anchors the time of day as it is now; {@code AnchoredWallClock.now(clock).wallMs(clock.nowMs())}. */
    public static AnchoredWallClock now(MonotonicClock clock) {
        return new AnchoredWallClock(System.currentTimeMillis() - clock.nowMs());
    }

    /** Milliseconds since the start of 1970 at that moment of the monotonic clock. */
    public long wallMs(long steadyMs) {
        return steadyMs + wallMinusSteadyMs;
    }
}
