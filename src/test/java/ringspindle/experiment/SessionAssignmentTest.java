package ringspindle.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sessions are divided by their shares, the same everywhere, and never change sides. */
class SessionAssignmentTest {
    private static final int SESSIONS = 20_000;
    private static final List<Side> SIDES = List.of(
            new Side("a", 0.5, Policy.DEFAULT), new Side("b", 0.3, Policy.DEFAULT), new Side("c", 0.2, Policy.DEFAULT));
    /** The chi-square distribution with two degrees of freedom exceeds this with a probability of 0.001. */
    private static final double CHI_SQUARE_2 = 13.82;

    private static int side(String salt, double ramp, int session) {
        return SessionAssignment.side(SIDES, ramp, SessionAssignment.bucket(salt, "s" + session));
    }

    @ParameterizedTest
    @CsvSource({
        "'5c1e07a2:800,91bd3f06:410,e4402b7d:250', e4402b7d",
        "e4402b7d:250, e4402b7d",
        "'5c1e07a2:800, e4402b7d:250 ', e4402b7d",
        "'5c1e07a2:800,', ''",
        "':250', ''",
        "'', ''",
        ", ''"
    })
    void sessionIsTheLastPartOfThePrompt(String prefix, String session) {
        assertEquals(session, SessionAssignment.sessionOf(prefix));
    }

    @Test
    void sidesHaveTheirShares() {
        double[] counts = new double[SIDES.size()];
        for (int session = 0; session < SESSIONS; session++) {
            counts[side("salt", 1, session)]++;
        }
        double chiSquare = 0;
        for (int i = 0; i < counts.length; i++) {
            double expected = SIDES.get(i).share() * SESSIONS;
            chiSquare += (counts[i] - expected) * (counts[i] - expected) / expected;
        }
        assertTrue(chiSquare < CHI_SQUARE_2, "chi-square " + chiSquare);
    }

    @Test
    void sidesOnlyGrowInARamp() {
        for (int session = 0; session < SESSIONS; session++) {
            int before = SessionAssignment.OUTSIDE;
            for (double ramp : new double[] {0.05, 0.2, 0.5, 0.9, 1}) {
                int now = side("salt", ramp, session);
                assertTrue(before == SessionAssignment.OUTSIDE || now == before, "session " + session + " at " + ramp);
                before = now;
            }
            assertNotEquals(SessionAssignment.OUTSIDE, before);
        }
    }

    @Test
    void saltsDivideIndependently() {
        int[][] together = new int[SIDES.size()][SIDES.size()];
        for (int session = 0; session < SESSIONS; session++) {
            together[side("one", 1, session)][side("two", 1, session)]++;
        }
        assertEquals(0.25, together[0][0] / (double) SESSIONS, 0.02);
        assertEquals(0.09, together[1][1] / (double) SESSIONS, 0.02);
    }

    @Test
    void groupsAreSpreadEvenlyOverTheSessionsOfASide() {
        int[] groups = new int[SessionAssignment.GROUPS];
        int inside = 0;
        for (int session = 0; session < SESSIONS; session++) {
            if (side("salt", 1, session) == 1) {
                groups[SessionAssignment.group("salt", "s" + session)]++;
                inside++;
            }
        }
        for (int count : groups) {
            assertEquals(1.0 / SessionAssignment.GROUPS, count / (double) inside, 0.012);
        }
    }
}
