package ringspindle.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Steps of the time of day that are taken back leave no trace, also in a process that started during one. */
class FilteredWallClockTest {
    private static final long TRUE_OFFSET_MS = 1_700_000_000_000L;
    private static final int STEP_MS = 2000;

    private long steadyMs = 5000;
    private long stepMs;

    private void run(FilteredWallClock clock, int forMs) {
        for (long untilMs = steadyMs + forMs; steadyMs < untilMs; steadyMs += 100) {
            clock.tick(steadyMs);
        }
    }

    private long errorMs(FilteredWallClock clock) {
        return clock.wallMs(steadyMs) - steadyMs - TRUE_OFFSET_MS;
    }

    private FilteredWallClock start() {
        return FilteredWallClock.of(() -> steadyMs + TRUE_OFFSET_MS + stepMs, steadyMs);
    }

    @Test
    void aStepThatIsTakenBackHasNoEffect() {
        FilteredWallClock clock = start();
        run(clock, 20_000);
        stepMs = STEP_MS;
        run(clock, 8000);
        assertEquals(0, errorMs(clock));
        stepMs = -STEP_MS;
        run(clock, 3000);
        assertEquals(0, errorMs(clock));
    }

    @Test
    void aProcessThatStartsDuringAStepIsRightSoonAfterIt() {
        stepMs = STEP_MS;
        FilteredWallClock clock = start();
        run(clock, 4000);
        assertEquals(STEP_MS, errorMs(clock), "nothing else is known yet");
        stepMs = 0;
        run(clock, 6000);
        assertEquals(0, errorMs(clock));
    }

    @Test
    void aTimeOfDayThatIsSetForGoodIsTakenOver() {
        FilteredWallClock clock = start();
        run(clock, 40_000);
        stepMs = 90;
        run(clock, 40_000);
        assertEquals(90, errorMs(clock));
    }
}
