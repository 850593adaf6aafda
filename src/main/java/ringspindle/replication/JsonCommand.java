package ringspindle.replication;

import jakarta.json.JsonObject;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;

/** An order whose body is a JSON object about a mark that the call names, from an operator or from whoever is in charge. */
final class JsonCommand {
    /** What makes an order one of whoever is in charge: the epoch of the view that put it there. */
    static final String EPOCH = "epoch";

    /** Decides an order on one kind of mark. */
    @FunctionalInterface
    interface Rule {
        /**
         * What the order comes to.
         *
         * @param mark the mark as it stands, null if there is none
         */
        Decision decide(JsonObject fields, Mark mark);
    }

    private JsonCommand() {}

    /** What the order comes to on that state: refused if its body or a field of it cannot be read. */
    static Decision decide(State state, Call command, MarkKind kind, Rule rule) {
        if (!(FleetConfig.json(command.body()) instanceof Validated.Valid<JsonObject> valid)) {
            return Decision.invalid("not a whole JSON object");
        }
        Mark mark = ControlState.findMark(state, kind, command.arg());
        JsonObject fields = valid.value();
        try {
            Decision decision = rule.decide(fields, mark);
            // an operator's order that was held up must not undo a newer one; whoever is in charge names its epoch
            boolean fromOperator = !fields.containsKey(EPOCH);
            return fromOperator && decision instanceof Decision.Commit && CommandDecider.isStale(command, mark)
                    ? Decision.answer(Outcome.UNCLEAR)
                    : decision;
        } catch (ClassCastException | NullPointerException | ArithmeticException e) {
            return Decision.invalid("a field is missing or of the wrong type");
        }
    }
}
