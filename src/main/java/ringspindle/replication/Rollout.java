package ringspindle.replication;

import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonString;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.util.List;

/**
 * The rollout of a checkpoint to the engines of a service, as stored in the control state.
 *
 * @param service the service whose engines get the checkpoint
 * @param targetWeights the revision of the weights that all engines are to run
 * @param previousWeights the revision they ran before, -1 if unknown
 * @param maxUnavailable how many engines may be out of service for the swap at a time
 * @param minInServiceShare the share of a region's engines that stays in service, from 0 to below 1
 * @param swapTimeoutS how long a swap may take before the rollout pauses, in seconds
 * @param cause why the rollout paused, empty otherwise
 * @param epoch the epoch of the view in which it was started
 * @param swapping engines that are swapping; they get no new requests
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

    /** The status of a rollout. */
    public enum Status {
        /** Engines swap, some at a time. */
        RUNNING,
        /** Stopped until an operator resumes or ends it. */
        PAUSED,
        /** All engines run the target weights. */
        DONE,
        /** An operator has aborted it. */
        ABORTED
    }

    /** Returns this rollout with another status and progress; lists are copied. */
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

    /** Returns the JSON form; {@code Rollout.read(rollout.write()).equals(rollout)}. */
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
