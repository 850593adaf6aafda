package ringspindle.replication;

import jakarta.json.JsonObject;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;

/**
 * A command whose body is a JSON object about the mark that the call names, from an operator or from the controller in
 * charge.
 */
final class JsonCommand {
    /** The epoch of the view that put a controller in charge; only controllers' commands have this field. */
    static final String EPOCH = "epoch";

    /** Decides a command on one kind of mark. */
    @FunctionalInterface
    interface Rule {
        /**
         * Returns the decision on the command.
         *
         * @param mark the current mark, or null
         */
        Decision decide(JsonObject fields, Mark mark);
    }

    private JsonCommand() {}

    /** Returns the decision on the command; a body or field that cannot be read is rejected. */
    static Decision decide(State state, Call command, MarkKind kind, Rule rule) {
        if (!(FleetConfig.json(command.body()) instanceof Validated.Valid<JsonObject> valid)) {
            return Decision.invalid("not a whole JSON object");
        }
        Mark mark = ControlState.findMark(state, kind, command.arg());
        JsonObject fields = valid.value();
        try {
            Decision decision = rule.decide(fields, mark);
            // a delayed operator's command must not undo a newer one; commands of a controller name their epoch
            boolean fromOperator = !fields.containsKey(EPOCH);
            return fromOperator && decision instanceof Decision.Commit && CommandDecider.isStale(command, mark)
                    ? Decision.answer(Outcome.UNCLEAR)
                    : decision;
        } catch (ClassCastException | NullPointerException | ArithmeticException e) {
            return Decision.invalid("a field is missing or of the wrong type");
        }
    }
}
