package ringspindle.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import ringspindle.experiment.Experiment.Standing;
import ringspindle.experiment.ExperimentDay.Effect;
import ringspindle.experiment.ExperimentDay.Planted;
import ringspindle.experiment.ExperimentDay.Result;

/** Simulated days with fixed seeds; {@link ExperimentSoak} plays many more and writes what became of them. */
class ExperimentSimulationTest {
    private static final int LENGTH_S = 120;
    private static final int REQUESTS_PER_S = 150;

    private static Result day(long seed, Effect effect) {
        return new ExperimentDay(seed, effect, Planted.NOTHING, LENGTH_S, REQUESTS_PER_S).run();
    }

    /** A halt for harm on all sides names no survivor: it is no verdict. */
    private static boolean hasVerdict(Result result) {
        return result.experiment().state() == Standing.HALTED
                && !result.experiment().survivor().isEmpty();
    }

    /** Of 40 days without a difference two may halt at an error rate of 0.05; bursts, lost regions and faults on all of them. */
    @Test
    void daysWithoutADifferenceAreNotHalted() {
        int verdicts = 0;
        for (long seed = 1; seed <= 40; seed++) {
            Result result = day(seed, Effect.NONE);
            assertEquals(List.of(), result.problems(), "seed " + seed);
            verdicts += hasVerdict(result) ? 1 : 0;
        }
        assertTrue(verdicts <= 2, verdicts + " of 40 halted");
    }

    @ParameterizedTest
    @CsvSource({
        "scrip, -1, 60, 0, false",
        "scrip, 1, 120, 0, false",
        "scrip, -1, 0, 0.1, false",
        "digest, -1, 250, 0, false",
        "scrip, 2, 500, 0, true"
    })
    void plantedDifferencesAreFoundAndTheOtherSideSurvives(
            String route, int region, double extraMs, double extraBroken, boolean inBurstsOnly) {
        int found = 0;
        for (long seed = 100; seed < 110; seed++) {
            Result result = day(seed, new Effect(route, region, extraMs, extraBroken, inBurstsOnly));
            assertEquals(List.of(), result.problems(), "seed " + seed);
            assertNotEquals("new", result.experiment().survivor(), result.experiment()::cause);
            found += hasVerdict(result) ? 1 : 0;
        }
        assertTrue(found >= 9, found + " of 10 found");
    }

    @ParameterizedTest
    @EnumSource(
            value = Planted.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NOTHING"})
    void plantedFaultsOfDivisionAndCountingAreNoticed(Planted planted) {
        Result result = new ExperimentDay(7, Effect.NONE, planted, LENGTH_S, REQUESTS_PER_S).run();
        assertFalse(result.problems().isEmpty());
    }

    @Test
    void sameSeedGivesTheSameDay() {
        Effect effect = new Effect("scrip", Effect.ALL_REGIONS, 60, 0, false);
        assertEquals(
                day(5, effect).experiment().write(), day(5, effect).experiment().write());
        assertEquals(day(5, effect).haltedMs(), day(5, effect).haltedMs());
    }
}
