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

/** Orders on the configuration and on serving rules: documents with a revision, each made for the revision it replaces. */
final class ConfigurationOrders {
    /** The configuration parsed last, kept as long as its revision is in force. */
    private FleetConfig parsed;

    Decision put(State state, Call order) {
        long digest = TakenOrders.digest(order);
        if (TakenOrders.contain(state, digest)) {
            return Decision.answer(Outcome.TAKEN);
        }
        return replace(state, order, digest, FleetConfig.read(order.body()));
    }

    Decision patch(State state, Call order) {
        long digest = TakenOrders.digest(order);
        if (TakenOrders.contain(state, digest)) {
            return Decision.answer(Outcome.TAKEN);
        }
        Validated<JsonObject> patch = FleetConfig.json(order.body());
        if (patch instanceof Validated.Invalid<JsonObject> invalid) {
            return Decision.invalid(invalid.errors());
        }
        if (state.config().length == 0 || order.base() != state.revision()) {
            return otherVersion(state, order);
        }
        return replace(state, order, digest, current(state).patched(value(patch)));
    }

    private Decision replace(State state, Call order, long digest, Validated<FleetConfig> checked) {
        if (checked instanceof Validated.Invalid<FleetConfig> invalid) {
            return Decision.invalid(invalid.errors());
        }
        FleetConfig next = value(checked);
        if (order.base() != state.revision()) {
            return otherVersion(state, order);
        }
        if (next.revision() <= state.revision()) {
            return Decision.invalid(List.of(new ConfigError.OldRevision(next.revision(), state.revision())));
        }
        return Decision.commit(order, next.revision(), digest, next.packed());
    }

    /** A stale base is refused only while it is certain that the order was not taken long ago and then forgotten. */
    private static Decision otherVersion(State state, Call order) {
        return Decision.answer(
                TakenOrders.mayHaveForgotten(state, order.base()) ? Outcome.UNCLEAR : Outcome.OTHER_VERSION);
    }

    /** Serving rules on top of the revision they were made for; checked against the configuration in force. */
    Decision rules(State state, Call order) {
        Validated<ServingRules> checked = ServingRules.read(order.body());
        if (checked instanceof Validated.Invalid<ServingRules> invalid) {
            return Decision.invalid(invalid.errors());
        }
        ServingRules next = value(checked);
        ServingRules inForce = rulesInForce(state);
        long digest = TakenOrders.digest(order);
        if (inForce != null && inForce.digest() == next.digest() || TakenOrders.contain(state, digest)) {
            return Decision.answer(Outcome.TAKEN);
        }
        long revision = inForce == null ? 0 : inForce.revision();
        if (order.base() != revision) {
            return Decision.answer(Outcome.OTHER_VERSION);
        }
        if (next.revision() <= revision) {
            return Decision.invalid(List.of(new ConfigError.OldRevision(next.revision(), revision)));
        }
        FleetConfig configuration = state.config().length == 0 ? null : current(state);
        List<ConfigError> errors = ServingRulesValidator.validate(next, configuration, Set.of());
        return errors.isEmpty()
                ? Decision.commit(order, next.revision(), digest, next.bytes())
                : Decision.invalid(errors);
    }

    /** Null if there are none. */
    private static ServingRules rulesInForce(State state) {
        Mark mark = ControlState.mark(state, MarkKind.RULES, ControlState.RULES_KEY);
        return mark == null ? null : value(ServingRules.read(mark.value().getBytes(UTF_8)));
    }

    private FleetConfig current(State state) {
        if (parsed == null || parsed.revision() != state.revision()) {
            parsed = value(FleetConfig.read(FleetConfig.unpack(state.config())));
        }
        return parsed;
    }

    /** What is known to be valid: checked just before, or when it was taken into the state. */
    private static <T> T value(Validated<T> checked) {
        return ((Validated.Valid<T>) checked).value();
    }
}
