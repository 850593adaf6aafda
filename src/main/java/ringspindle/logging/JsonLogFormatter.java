package ringspindle.logging;

import com.google.common.flogger.LogContext;
import com.google.common.flogger.MetadataKey;
import com.google.common.flogger.backend.BaseMessageFormatter;
import com.google.common.flogger.backend.MetadataHandler;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Iterator;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/**
 * Formats each log record as a line of JSON: {@code timestamp} (ISO 8601, UTC), {@code level}, {@code logger} (the
 * simple name of the class), {@code message}, the record's own fields (see {@link LogField}), and {@code cause} with
 * the stack trace if there is one.
 */
public final class JsonLogFormatter extends Formatter {
    private static final JsonProvider JSON = JsonProvider.provider();

    private static final MetadataHandler<JsonObjectBuilder> FIELDS = new FieldWriter();

    /** Creates a formatter; it has no state. */
    public JsonLogFormatter() {}

    /** Sends all logging from {@code level} up to standard error in this format; Jetty's only if severe. */
    public static void install(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Handler standardError = new FlushingHandler();
        standardError.setLevel(level);
        root.addHandler(standardError);
        root.setLevel(level);
        Logger.getLogger("org.eclipse.jetty").setLevel(Level.SEVERE);
    }

    @Override
    public String format(LogRecord logged) {
        JsonObjectBuilder line = JSON.createObjectBuilder()
                .add("timestamp", logged.getInstant().toString())
                .add("level", logged.getLevel().getName())
                .add("logger", simpleName(logged.getLoggerName()));
        if (logged instanceof AbstractLogRecord structured) {
            line.add("message", messageOf(structured));
            structured.getMetadataProcessor().process(FIELDS, line);
        } else {
            line.add("message", formatMessage(logged));
        }
        if (logged.getThrown() != null) {
            line.add("cause", stackTrace(logged.getThrown()));
        }
        return line.build() + "\n";
    }

    private static String simpleName(String logger) {
        return logger == null ? "" : logger.substring(logger.lastIndexOf('.') + 1);
    }

    /** The message alone: the record's own text would repeat the fields after it. */
    private static String messageOf(AbstractLogRecord logged) {
        return BaseMessageFormatter.appendFormattedMessage(logged.getLogData(), new StringBuilder())
                .toString();
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString();
    }

    /** Adds the metadata of a record to its line; numbers and truth values keep their type. */
    private static final class FieldWriter extends MetadataHandler<JsonObjectBuilder> {
        @Override
        protected <T> void handle(MetadataKey<T> key, T value, JsonObjectBuilder line) {
            if (key.equals(LogContext.Key.LOG_CAUSE)) {
                return;
            }
            if (value instanceof Boolean truth) {
                line.add(key.getLabel(), truth);
            } else if (value instanceof Integer || value instanceof Long) {
                line.add(key.getLabel(), ((Number) value).longValue());
            } else {
                line.add(key.getLabel(), String.valueOf(value));
            }
        }

        @Override
        protected <T> void handleRepeated(MetadataKey<T> key, Iterator<T> values, JsonObjectBuilder line) {
            values.forEachRemaining(value -> handle(key, value, line));
        }
    }

    /** Writes every record at once, so that the last ones are there if the process ends. */
    private static final class FlushingHandler extends StreamHandler {
        FlushingHandler() {
            super(System.err, new JsonLogFormatter());
        }

        @Override
        public synchronized void publish(LogRecord logged) {
            super.publish(logged);
            flush();
        }
    }
}
