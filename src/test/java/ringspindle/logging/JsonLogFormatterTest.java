package ringspindle.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.flogger.FluentLogger;
import jakarta.json.Json;
import jakarta.json.JsonObject;
import java.io.StringReader;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Log lines as operators and their tools read them. */
class JsonLogFormatterTest {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Logger logger = Logger.getLogger(JsonLogFormatterTest.class.getName());
    private final List<LogRecord> records = new ArrayList<>();
    private final Handler collector = new Handler() {
        @Override
        public void publish(LogRecord logged) {
            records.add(logged);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void collect() {
        logger.addHandler(collector);
        logger.setLevel(Level.ALL);
        logger.setUseParentHandlers(false);
    }

    @AfterEach
    void stopCollecting() {
        logger.removeHandler(collector);
        logger.setLevel(null);
        logger.setUseParentHandlers(true);
    }

    private JsonObject onlyLine() {
        assertEquals(1, records.size());
        return parsed(records.get(0));
    }

    private static JsonObject parsed(LogRecord logged) {
        String line = new JsonLogFormatter().format(logged);
        assertTrue(line.endsWith("}\n"), line);
        assertEquals(line.length() - 1, line.indexOf('\n'), "one line a record");
        return Json.createReader(new StringReader(line)).readObject();
    }

    @Test
    void lineHasTimestampLevelLoggerAndMessage() {
        LOG.atWarning().log("disk %s is slow", "a");
        records.get(0).setInstant(Instant.ofEpochMilli(1_796_196_724_893L));
        JsonObject line = onlyLine();
        assertEquals(List.of("timestamp", "level", "logger", "message"), List.copyOf(line.keySet()));
        assertEquals("2026-12-02T07:32:04.893Z", line.getString("timestamp"));
        assertEquals("WARNING", line.getString("level"));
        assertEquals("JsonLogFormatterTest", line.getString("logger"));
        assertEquals("disk a is slow", line.getString("message"));
    }

    @Test
    void fieldsHaveKeysOfTheirOwnAndAreNotRepeatedInTheMessage() {
        LOG.atInfo()
                .with(LogField.EPOCH, 7L)
                .with(LogField.COMMITTED, true)
                .with(LogField.CHAIN, List.of("a", "b"))
                .log("view changed");
        JsonObject line = onlyLine();
        assertEquals("view changed", line.getString("message"));
        assertEquals(7, line.getInt("epoch"));
        assertTrue(line.getBoolean("committed"));
        assertEquals("[a, b]", line.getString("chain"));
    }

    @Test
    void messageWithoutArgumentsKeepsItsPercentSigns() {
        LOG.atInfo().log("100% of it");
        assertEquals("100% of it", onlyLine().getString("message"));
    }

    @Test
    void causeIsTheStackTraceOnce() {
        LOG.atSevere().withCause(new IllegalStateException("no luck")).log("tick fails");
        JsonObject line = onlyLine();
        assertEquals("tick fails", line.getString("message"));
        assertTrue(line.getString("cause").startsWith("java.lang.IllegalStateException: no luck\n\tat "));
        assertEquals(Set.of("timestamp", "level", "logger", "message", "cause"), line.keySet());
    }

    @Test
    void limitedLogSitesSayTheirLimit() {
        LOG.atWarning().atMostEvery(30, TimeUnit.SECONDS).log("refused");
        JsonObject line = onlyLine();
        assertEquals("refused", line.getString("message"));
        assertTrue(line.containsKey("ratelimit_period"), line.toString());
    }

    @Test
    void recordsOfOtherLoggersAreLines() {
        LogRecord other = new LogRecord(Level.SEVERE, "port {0} is taken");
        other.setParameters(new Object[] {"8166"});
        JsonObject line = parsed(other);
        assertEquals("port 8166 is taken", line.getString("message"));
        assertEquals("", line.getString("logger"));
        assertFalse(line.containsKey("cause"));
    }
}
