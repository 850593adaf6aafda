package ringspindle.logging;

import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Logs as JSON lines on standard error. */
public final class JsonLines extends Formatter {
    private static final JsonProvider JSON = JsonProvider.provider();

    /** Routes all logging through this format; {@code JsonLines.install(Level.INFO)}. */
    public static void install(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        StreamHandler out = new StreamHandler(System.err, new JsonLines()) {
            @Override
            public synchronized void publish(LogRecord r) {
                super.publish(r);
                flush();
            }
        };
        out.setLevel(level);
        root.addHandler(out);
        root.setLevel(level);
        Logger.getLogger("org.eclipse.jetty").setLevel(Level.SEVERE);
    }

    /** One line of JSON; {@code {"level":"INFO","from":"Core","text":"view 2"}}. */
    @Override
    public String format(LogRecord r) {
        JsonObjectBuilder b = JSON.createObjectBuilder()
                .add("at", r.getMillis())
                .add("level", r.getLevel().getName());
        String name = r.getLoggerName() == null ? "" : r.getLoggerName();
        b.add("from", name.substring(name.lastIndexOf('.') + 1)).add("text", formatMessage(r));
        if (r.getThrown() != null) {
            StringWriter w = new StringWriter();
            r.getThrown().printStackTrace(new PrintWriter(w));
            b.add("cause", w.toString());
        }
        return b.build() + "\n";
    }
}
