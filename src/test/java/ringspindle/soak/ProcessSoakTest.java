package ringspindle.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Short soaks with fixed seeds; many more are played by hand with {@link ProcessSoak}. */
class ProcessSoakTest {
    private static final int LENGTH_MS = 12_000;

    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({"2, true", "3, false"})
    void noRuleIsBrokenWhileSeriesOfDisturbancesOverlap(long seed, boolean plannedOnly) throws Exception {
        ProcessSoak.Plan plan = new ProcessSoak.Plan(seed, 2, LENGTH_MS, plannedOnly);
        ProcessSoak.Verdict verdict = ProcessSoak.play(plan, folder);
        assertEquals(List.of(), verdict.broken().stream().limit(8).toList());
        assertTrue(
                verdict.served() > 0 && verdict.led() > 0 && verdict.disturbances() > 0 && verdict.increments() > 0,
                "something was judged");
    }
}
