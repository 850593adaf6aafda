package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObject;
import java.util.List;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.routing.ServingRules;
import ringspindle.routing.ServingRulesValidator;

/**
 * Commands on the configuration and on serving rules. Both are documents with a revision, and each command names the
 * revision that it replaces.
 */
final class ConfigurationCommands {
    /** The configuration parsed last, valid while its revision is current. */
    private FleetConfig cachedConfiguration;

    Decision put(State state, Call command) {
        long digest = CommandHistory.digest(command);
        if (CommandHistory.contains(state, digest)) {
            return Decision.answer(Outcome.TAKEN);
        }
        return replace(state, command, digest, FleetConfig.read(command.body()));
    }

    Decision patch(State state, Call command) {
        long digest = CommandHistory.digest(command);
        if (CommandHistory.contains(state, digest)) {
            return Decision.answer(Outcome.TAKEN);
        }
        Validated<JsonObject> patch = FleetConfig.json(command.body());
        if (patch instanceof Validated.Invalid<JsonObject> invalid) {
            return Decision.invalid(invalid.errors());
        }
        if (state.config().length == 0 || command.base() != state.revision()) {
            return rejectStaleBase(state, command);
        }
        return replace(state, command, digest, currentConfiguration(state).patched(validValue(patch)));
    }

    private Decision replace(State state, Call command, long digest, Validated<FleetConfig> checked) {
        if (checked instanceof Validated.Invalid<FleetConfig> invalid) {
            return Decision.invalid(invalid.errors());
        }
        FleetConfig next = validValue(checked);
        if (command.base() != state.revision()) {
            return rejectStaleBase(state, command);
        }
        if (next.revision() <= state.revision()) {
            return Decision.invalid(List.of(new ConfigError.OldRevision(next.revision(), state.revision())));
        }
        return Decision.commit(command, next.revision(), digest, next.packed());
    }

    /**
     * Rejects a command on a stale base. The outcome is unclear if the command may have been accepted earlier and since
     * dropped from the history.
     */
    private static Decision rejectStaleBase(State state, Call command) {
        return Decision.answer(
                CommandHistory.mayHaveDropped(state, command.base()) ? Outcome.UNCLEAR : Outcome.OTHER_VERSION);
    }

    /** Decides new serving rules on top of a revision; they are validated against the current configuration. */
    Decision rules(State state, Call command) {
        Validated<ServingRules> checked = ServingRules.read(command.body());
        if (checked instanceof Validated.Invalid<ServingRules> invalid) {
            return Decision.invalid(invalid.errors());
        }
        ServingRules next = validValue(checked);
        ServingRules current = currentRules(state);
        long digest = CommandHistory.digest(command);
        if (current != null && current.digest() == next.digest() || CommandHistory.contains(state, digest)) {
            return Decision.answer(Outcome.TAKEN);
        }
        long revision = current == null ? 0 : current.revision();
        if (command.base() != revision) {
            return Decision.answer(Outcome.OTHER_VERSION);
        }
        if (next.revision() <= revision) {
            return Decision.invalid(List.of(new ConfigError.OldRevision(next.revision(), revision)));
        }
        FleetConfig configuration = state.config().length == 0 ? null : currentConfiguration(state);
        List<ConfigError> errors = ServingRulesValidator.validate(next, configuration, Set.of());
        return errors.isEmpty()
                ? Decision.commit(command, next.revision(), digest, next.bytes())
                : Decision.invalid(errors);
    }

    /** Returns the current serving rules, or null. */
    private static ServingRules currentRules(State state) {
        Mark mark = ControlState.findMark(state, MarkKind.RULES, ControlState.RULES_KEY);
        return mark == null ? null : validValue(ServingRules.read(mark.value().getBytes(UTF_8)));
    }

    private FleetConfig currentConfiguration(State state) {
        if (cachedConfiguration == null || cachedConfiguration.revision() != state.revision()) {
            cachedConfiguration = validValue(FleetConfig.read(FleetConfig.unpack(state.config())));
        }
        return cachedConfiguration;
    }

    /** Unwraps a result known to be valid: validated just before, or when it entered the state. */
    private static <T> T validValue(Validated<T> checked) {
        return ((Validated.Valid<T>) checked).value();
    }
}
