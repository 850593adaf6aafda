package ringspindle.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;

/** The numbers of constants in messages and on disk never change; unknown numbers have a constant of their own. */
class WireNumbersTest {
    private static <E extends Enum<E>> void assertNumbers(
            List<String> expected, E[] constants, Function<E, Integer> numberOf, IntFunction<E> of) {
        Map<String, Integer> byName = new LinkedHashMap<>();
        for (int i = 0; i < expected.size(); i++) {
            byName.put(expected.get(i), i);
        }
        assertEquals(expected.size(), constants.length);
        for (E constant : constants) {
            assertEquals(byName.get(constant.name()), numberOf.apply(constant), constant.name());
            assertEquals(constant, of.apply(numberOf.apply(constant)));
        }
        for (int number : new int[] {-1, expected.size(), 255, Integer.MAX_VALUE, Integer.MIN_VALUE}) {
            assertEquals("UNKNOWN", of.apply(number).name(), "number " + number);
        }
    }

    @Test
    void factKinds() {
        assertNumbers(
                List.of(
                        "UNKNOWN",
                        "CONFIG",
                        "EVACUATED",
                        "LEAVING",
                        "ENGINE",
                        "NODE",
                        "LEASE",
                        "ROLLOUT",
                        "TURN",
                        "SILENT",
                        "RULES"),
                FactKind.values(),
                FactKind::number,
                FactKind::of);
    }
}
