package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.util.Locale;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.State;

/**
 * The rollout of a version of a service's software, whose engines run beside those of the previous version.
 *
 * @param service the service that is updated
 * @param targetRevision the version
 * @param durationS the time in which the operator wants the rollout decided, in seconds
 * @param status the status of the rollout
 */
public record VersionRollout(String service, String targetRevision, int durationS, Status status) {
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final String SERVICE = "service";
    private static final String REVISION = "targetRevision";
    private static final String DURATION = "durationS";
    private static final String STATE = "state";

    /** The status of a version rollout; operators read these names in lower case. */
    public enum Status {
        /** The version is being evaluated. */
        ACTIVE,
        /** The version receives requests. */
        COMPLETED,
        /** The version receives no requests. */
        REVERTED;

        /** The name shown to operators. */
        public String externalName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Returns the JSON form; {@code VersionRollout.read(rollout.write()).equals(rollout)}. */
    public String write() {
        return JSON.createObjectBuilder()
                .add(SERVICE, service)
                .add(REVISION, targetRevision)
                .add(DURATION, durationS)
                .add(STATE, status.name())
                .build()
                .toString();
    }

    /** Reads what {@link #write} wrote. */
    public static VersionRollout read(String json) {
        try (JsonReader reader = JSON.createReader(new StringReader(json))) {
            JsonObject fields = reader.readObject();
            return new VersionRollout(
                    fields.getString(SERVICE),
                    fields.getString(REVISION),
                    fields.getInt(DURATION),
                    Status.valueOf(fields.getString(STATE)));
        }
    }

    /**
     * Returns the body of the command that ends a rollout.
     *
     * @param epoch the epoch of the view whose head sends the command
     */
    public static byte[] endCommand(Status finalStatus, long epoch) {
        return JSON.createObjectBuilder()
                .add(JsonCommand.EPOCH, epoch)
                .add(STATE, finalStatus.name())
                .build()
                .toString()
                .getBytes(UTF_8);
    }

    /** Decides an operator's command to start a rollout, or the command of the view's head to end it. */
    static Decision decide(State state, Call command) {
        return JsonCommand.decide(state, command, MarkKind.VERSION, (fields, mark) -> {
            VersionRollout current = mark == null ? null : read(mark.value());
            return fields.containsKey(JsonCommand.EPOCH)
                    ? decideEnd(state, command, fields, current)
                    : decideStart(state, command, fields, current);
        });
    }

    private static Decision decideStart(State state, Call command, JsonObject fields, VersionRollout current) {
        int durationS = fields.getJsonNumber(DURATION).intValue();
        String revision = fields.getString(REVISION);
        if (durationS < 1 || revision.isEmpty()) {
            return Decision.invalid("durationS from 1, and a targetRevision");
        }
        if (current != null && current.status() == Status.ACTIVE) {
            boolean same = current.targetRevision().equals(revision);
            return Decision.answer(same ? Outcome.TAKEN : Outcome.CLASH);
        }
        boolean known = state.config().length > 0
                && FleetConfig.read(FleetConfig.unpack(state.config())) instanceof Validated.Valid<FleetConfig> config
                && config.value().service(command.arg()) != null;
        return known
                ? write(command, new VersionRollout(command.arg(), revision, durationS, Status.ACTIVE))
                : Decision.answer(Outcome.NO_SUCH);
    }

    private static Decision decideEnd(State state, Call command, JsonObject fields, VersionRollout current) {
        boolean fromCurrentHead = fields.getJsonNumber(JsonCommand.EPOCH).longValue() == state.lineage();
        if (current == null || !fromCurrentHead || current.status() != Status.ACTIVE) {
            return Decision.answer(Outcome.CLASH);
        }
        Status finalStatus = Status.valueOf(fields.getString(STATE));
        return write(
                command,
                new VersionRollout(current.service(), current.targetRevision(), current.durationS(), finalStatus));
    }

    private static Decision write(Call command, VersionRollout rollout) {
        return Decision.commit(command, rollout.write().getBytes(UTF_8));
    }
}
