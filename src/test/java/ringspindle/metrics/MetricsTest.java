package ringspindle.metrics;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The page of figures: what stands on it, and that nothing is read before somebody asks. */
class MetricsTest {
    private final AtomicLong reads = new AtomicLong();
    private final Metrics metrics = new Metrics()
            .gauge("ringspindle_example_seconds", "An age.", () -> reads.incrementAndGet() + 0.5)
            .gauges("ringspindle_example_parts", "Parts.", "part", () -> Map.of("chain", 3))
            .counter("ringspindle_example_events", "Events.", () -> 7)
            .counters("ringspindle_example_ends", "Ends.", "end", () -> Map.of("CANCELED \"x\"", 2L));

    private List<String> lines() throws IOException {
        return new String(metrics.page(), UTF_8).lines().toList();
    }

    @Test
    void figuresStandWithTypeAndHelp() throws IOException {
        List<String> lines = lines();
        assertTrue(lines.contains("# TYPE ringspindle_example_seconds gauge"), lines::toString);
        assertTrue(lines.contains("# HELP ringspindle_example_seconds An age."), lines::toString);
        assertTrue(lines.contains("ringspindle_example_seconds 1.5"), lines::toString);
        assertTrue(lines.contains("ringspindle_example_parts{part=\"chain\"} 3.0"), lines::toString);
        assertTrue(lines.contains("# TYPE ringspindle_example_events_total counter"), lines::toString);
        assertTrue(lines.contains("ringspindle_example_events_total 7.0"), lines::toString);
        assertTrue(lines.contains("ringspindle_example_ends_total{end=\"CANCELED \\\"x\\\"\"} 2.0"), lines::toString);
    }

    @Test
    void figuresAreReadAtEachScrapeAndNotBefore() throws IOException {
        assertEquals(0, reads.get());
        lines();
        assertTrue(lines().contains("ringspindle_example_seconds 2.5"));
        assertEquals(2, reads.get());
    }
}
