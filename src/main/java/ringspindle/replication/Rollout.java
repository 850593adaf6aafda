package ringspindle.replication;

import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonString;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.util.List;

/**
 * A roll-out of a checkpoint over the engines of a service, as it stands in the control state.
 *
 * @param service whose engines take the checkpoint
 * @param targetWeights the weights' revision that all are to have
 * @param previousWeights the one they had, -1 if unknown
 * @param maxUnavailable how many may be out of service for it at a time
 * @param minInServiceShare the share of a region's engines that stays in service, from 0 to below 1
 * @param swapTimeoutS how long a swap may take before the roll-out pauses, in seconds
 * @param cause why it paused, empty otherwise
 * @param epoch the view in which it was started
 * @param swapping engines whose turn it is: they get no new requests
 * @param swapped engines that have swapped
 */
public record Rollout(
        String service,
        long targetWeights,
        long previousWeights,
        int maxUnavailable,
        double minInServiceShare,
        int swapTimeoutS,
        Status status,
        String cause,
        long epoch,
        List<String> swapping,
        List<String> swapped) {
    private static final JsonProvider JSON = JsonProvider.provider();

    /** How far it is. */
    public enum Status {
        /** Engines take their turns. */
        RUNNING,
        /** Nothing goes on until an operator resumes or ends it. */
        PAUSED,
        /** All engines have the target. */
        DONE,
        /** An operator has given it up. */
        ABORTED
    }

    /** The same roll-out, so far; lists are copied. */
    Rollout with(Status newStatus, String newCause, List<String> newSwapping, List<String> newSwapped) {
        return new Rollout(
                service,
                targetWeights,
                previousWeights,
                maxUnavailable,
                minInServiceShare,
                swapTimeoutS,
                newStatus,
                newCause,
                epoch,
                List.copyOf(newSwapping),
                List.copyOf(newSwapped));
    }

    /** As JSON; {@code Rollout.read(rollout.write()).equals(rollout)}. */
    public String write() {
        return JSON.createObjectBuilder()
                .add("service", service)
                .add("target", targetWeights)
                .add("from", previousWeights)
                .add("atOnce", maxUnavailable)
                .add("floor", minInServiceShare)
                .add("patienceS", swapTimeoutS)
                .add("state", status.name())
                .add("cause", cause)
                .add("epoch", epoch)
                .add("turn", JSON.createArrayBuilder(swapping))
                .add("swapped", JSON.createArrayBuilder(swapped))
                .build()
                .toString();
    }

    /** Reads what {@link #write} wrote. */
    public static Rollout read(String json) {
        try (JsonReader reader = JSON.createReader(new StringReader(json))) {
            JsonObject fields = reader.readObject();
            return new Rollout(
                    fields.getString("service"),
                    fields.getJsonNumber("target").longValue(),
                    fields.getJsonNumber("from").longValue(),
                    fields.getInt("atOnce"),
                    fields.getJsonNumber("floor").doubleValue(),
                    fields.getInt("patienceS"),
                    Status.valueOf(fields.getString("state")),
                    fields.getString("cause"),
                    fields.getJsonNumber("epoch").longValue(),
                    strings(fields, "turn"),
                    strings(fields, "swapped"));
        }
    }

    private static List<String> strings(JsonObject fields, String key) {
        return fields.getJsonArray(key).getValuesAs(JsonString.class).stream()
                .map(JsonString::getString)
                .toList();
    }
}
