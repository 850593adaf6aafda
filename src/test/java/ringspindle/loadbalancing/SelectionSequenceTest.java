package ringspindle.loadbalancing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against unintended changes of any load balancer decision over seeded sequences of events: selections, health
 * probes, granted retries and load summaries. The expected lines were recorded before the load balancer was split into
 * one class per concern. Change them only in a commit that changes decisions on purpose and says so.
 */
class SelectionSequenceTest {
    private static final String EXPECTED = "/ringspindle/loadbalancing/selection-sequences.txt";
    private static final int SEEDS = 18;
    private static final int CHECKPOINTS = 10;
    private static final int EVENTS_PER_CHECKPOINT = 1500;

    private static List<String> expected() throws IOException {
        try (InputStream in = SelectionSequenceTest.class.getResourceAsStream(EXPECTED)) {
            return new String(in.readAllBytes(), UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .toList();
        }
    }

    @Test
    void decisionsMatchRecordedSequences() throws IOException {
        List<String> actual = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            SelectionSequence sequence = new SelectionSequence(seed);
            for (int checkpoint = 0; checkpoint < CHECKPOINTS; checkpoint++) {
                sequence.run(EVENTS_PER_CHECKPOINT);
                actual.add("seed=" + seed + " events=" + sequence.events() + " " + sequence.checkpoint());
            }
        }
        assertEquals(String.join("\n", expected()), String.join("\n", actual));
    }

    /** Recorded decisions detect a change only in code that the sequences execute. */
    @Test
    void sequencesCoverEveryKindOfDecision() {
        SelectionSequence.Totals totals = new SelectionSequence.Totals();
        for (int seed = 1; seed <= SEEDS; seed++) {
            SelectionSequence sequence = new SelectionSequence(seed);
            sequence.run(CHECKPOINTS * EVENTS_PER_CHECKPOINT);
            totals.add(sequence.totals());
        }
        assertTrue(totals.allAtLeast(100), totals.toString());
    }
}
