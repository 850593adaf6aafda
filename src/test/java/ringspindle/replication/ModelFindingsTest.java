package ringspindle.replication;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Repeats searches and random walks that once found a fault, within the bounds of {@link ModelCheckTest}. */
class ModelFindingsTest {
    private static final Set<ModelExplorer.Action> DELAYED_DELIVERY =
            EnumSet.of(ModelExplorer.Action.HOLD, ModelExplorer.Action.DUPLICATE);

    /** Injects each single fault at each step of a run of three nodes and two commands. */
    @Test
    void singleFaultAtAnyStepBreaksNothing() {
        Set<ModelExplorer.Action> singleFaults = EnumSet.complementOf(EnumSet.copyOf(DELAYED_DELIVERY));
        singleFaults.removeAll(ModelCheckTest.MEMBERS);
        ModelCheckTest.requireCleanSearch(singleFaults);
    }

    /** A deposed head must not answer from its outdated state, and a delayed old command must not take effect. */
    @Test
    void deposedHeadsAndDelayedCommandsBreakNothing() {
        ModelCheckTest.requireClean(ModelPlan.read("seed 220 size 3 lost 1 length 5639: 3489 CUT_IN 0 0 2150 12"));
        ModelCheckTest.requireClean(3, 1, 8, ModelPlan.Mix.STORM);
        ModelCheckTest.requireClean(5, 2, 4, ModelPlan.Mix.STORM);
        ModelCheckTest.requireCleanSearch(DELAYED_DELIVERY);
    }

    /** An operator withdraws a command whose outcome is unknown, and the command arrives only afterwards. */
    @Test
    void withdrawnCommandsDoNotTakeEffect() {
        ModelCheckTest.requireClean(
                ModelPlan.read("seed 1038 size 5 lost 2 length 12099: 3000 LOSE_AND_REPLACE 2 5 0 0; "
                        + "7873 JOIN 6 0 0 0; 9526 IMPATIENT 0 0 2573 0; 10969 WIPE 0 0 182 2"));
        ModelCheckTest.requireClean(ModelPlan.read("seed 1102 size 5 lost 2 length 28674: 3000 LINK 3 0 5233 0; "
                + "5015 WIPE 1 0 884 2; 12557 KILL_ALL 0 1 220 0; 19770 KILL 2 0 973 12; 21855 KILL 3 0 1551 7; "
                + "24167 IMPATIENT 0 0 3901 0; 25718 WIPE 0 0 515 9; 27983 CUT_HELD 3 0 691 0"));
    }

    @ParameterizedTest
    @CsvSource({"3, 1, 8", "5, 2, 4", "9, 4, 2"})
    void membershipChangesBreakNothing(int size, int lost, int seeds) {
        ModelCheckTest.requireClean(size, lost, seeds, ModelPlan.Mix.MEMBERS);
        ModelCheckTest.requireClean(size, lost, seeds, ModelPlan.Mix.ALL);
    }
}
