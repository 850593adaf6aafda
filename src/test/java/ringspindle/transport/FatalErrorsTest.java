package ringspindle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A process whose periodic work cannot go on ends with a code of its own. */
class FatalErrorsTest {
    @Test
    void errorEndsTheProcessWithItsCode() {
        List<Integer> codes = new ArrayList<>();
        FatalErrors.end("periodic work", new OutOfMemoryError("test"), codes::add);
        assertEquals(List.of(FatalErrors.EXIT_CODE), codes);
    }
}
