package ringspindle.replication;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonString;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.util.List;

/**
 * A roll-out of a checkpoint over the engines of a service, as it stands in the control state.
 *
 * @param target the weights' revision that all are to have
 * @param from the one they had, -1 if unknown
 * @param atOnce how many may be out of service for it at a time
 * @param floor the share of a region's engines that stays in service
 * @param turn engines whose turn it is: they get no new requests
 */
public record Rollout(
        String service,
        long target,
        long from,
        int atOnce,
        double floor,
        int patienceS,
        Standing state,
        String cause,
        long epoch,
        List<String> turn,
        List<String> swapped) {
    private static final JsonProvider JSON = JsonProvider.provider();

    /** How far it is. */
    public enum Standing {
        RUNNING,
        PAUSED,
        DONE,
        ABORTED
    }

    Rollout with(Standing s, String why, List<String> inTurn, List<String> done) {
        return new Rollout(
                service, target, from, atOnce, floor, patienceS, s, why, epoch, List.copyOf(inTurn), List.copyOf(done));
    }

    /** As JSON; {@code Rollout.read(r.write()).equals(r)}. */
    public String write() {
        JsonArrayBuilder t = JSON.createArrayBuilder();
        turn.forEach(t::add);
        JsonArrayBuilder s = JSON.createArrayBuilder();
        swapped.forEach(s::add);
        return JSON.createObjectBuilder()
                .add("service", service)
                .add("target", target)
                .add("from", from)
                .add("atOnce", atOnce)
                .add("floor", floor)
                .add("patienceS", patienceS)
                .add("state", state.name())
                .add("cause", cause)
                .add("epoch", epoch)
                .add("turn", t)
                .add("swapped", s)
                .build()
                .toString();
    }

    /** Reads what {@link #write} wrote. */
    public static Rollout read(String json) {
        try (JsonReader r = JSON.createReader(new StringReader(json))) {
            JsonObject o = r.readObject();
            return new Rollout(
                    o.getString("service"),
                    o.getJsonNumber("target").longValue(),
                    o.getJsonNumber("from").longValue(),
                    o.getInt("atOnce"),
                    o.getJsonNumber("floor").doubleValue(),
                    o.getInt("patienceS"),
                    Standing.valueOf(o.getString("state")),
                    o.getString("cause"),
                    o.getJsonNumber("epoch").longValue(),
                    strings(o, "turn"),
                    strings(o, "swapped"));
        }
    }

    private static List<String> strings(JsonObject o, String key) {
        return o.getJsonArray(key).getValuesAs(JsonString.class).stream()
                .map(JsonString::getString)
                .toList();
    }
}
