package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.api.Outcome;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.State;

/**
 * The reported usage of a window. It is decided once, by a majority, before it is first sent anywhere.
 *
 * @param window the number of the window
 * @param counts requests by tenant
 */
public record MeteredWindow(long window, Map<String, Long> counts) {
    /** The key of the mark that holds the last decided window. */
    public static final String KEY = "";

    private static final JsonProvider JSON = JsonProvider.provider();
    private static final String WINDOW = "window";
    private static final String REPORTED_WINDOW = "windowNumber";
    private static final String COUNTS = "counts";

    /** Returns the JSON form; {@code MeteredWindow.read(window.write()).equals(window)}. */
    public String write() {
        return fields(WINDOW).build().toString();
    }

    /** Returns the JSON form of the report to the platform. */
    public String report() {
        return fields(REPORTED_WINDOW).build().toString();
    }

    private JsonObjectBuilder fields(String windowName) {
        JsonObjectBuilder tenants = JSON.createObjectBuilder();
        counts.forEach((tenant, requests) -> tenants.add(tenant, (long) requests));
        return JSON.createObjectBuilder().add(windowName, window).add(COUNTS, tenants);
    }

    /** Reads what {@link #write} wrote. */
    public static MeteredWindow read(String json) {
        try (JsonReader reader = JSON.createReader(new StringReader(json))) {
            return read(reader.readObject());
        }
    }

    private static MeteredWindow read(JsonObject fields) {
        Map<String, Long> counts = new TreeMap<>();
        fields.getJsonObject(COUNTS)
                .forEach((tenant, requests) -> counts.put(tenant, ((JsonNumber) requests).longValue()));
        return new MeteredWindow(fields.getJsonNumber(WINDOW).longValueExact(), counts);
    }

    /**
     * Returns the body of the command that decides this window.
     *
     * @param epoch the epoch of the view whose head sends the command
     */
    public byte[] command(long epoch) {
        return fields(WINDOW).add(JsonCommand.EPOCH, epoch).build().toString().getBytes(UTF_8);
    }

    /** Decides a window. Windows are decided in order, each once, and only by the head of the view. */
    static Decision decide(State state, Call command) {
        return JsonCommand.decide(state, command, MarkKind.METERING, (fields, mark) -> {
            MeteredWindow next = read(fields);
            boolean fromCurrentHead = fields.getJsonNumber(JsonCommand.EPOCH).longValue() == state.lineage();
            boolean follows = mark == null || next.window() > read(mark.value()).window();
            return fromCurrentHead && follows
                    ? Decision.commit(command, next.write().getBytes(UTF_8))
                    : Decision.answer(Outcome.CLASH);
        });
    }
}
