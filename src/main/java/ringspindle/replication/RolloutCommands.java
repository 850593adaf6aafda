package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import ringspindle.api.Outcome;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.State;
import ringspindle.replication.Rollout.Status;

/** One order on a roll-out, and what it makes of the control state: an operator's, or a step of the controller in charge. */
final class RolloutCommands {
    private static final int DEFAULT_AT_ONCE = 1;
    private static final double DEFAULT_FLOOR = 0.5;
    private static final int DEFAULT_PATIENCE_S = 120;
    private static final long UNKNOWN_WEIGHTS = -1;

    private final State state;
    private final Call order;
    private final JsonObject fields;
    /** The service's roll-out as it stands, null if there is none. */
    private final Rollout current;

    private RolloutCommands(State state, Call command, JsonObject fields, Rollout current) {
        this.state = state;
        this.order = command;
        this.fields = fields;
        this.current = current;
    }

    /** What the order, a JSON object about the service that the call names, comes to on that state. */
    static Decision decide(State state, Call command) {
        return JsonCommand.decide(state, command, MarkKind.ROLLOUT, (fields, mark) -> {
            Rollout current = mark == null ? null : Rollout.read(mark.value());
            return new RolloutCommands(state, command, fields, current).decide();
        });
    }

    private Decision decide() {
        String name = fields.getString("order");
        return switch (name) {
            case "start" -> start();
            case "resume" -> resume();
            case "abort" -> abort();
            case "back" -> back();
            default -> step(name);
        };
    }

    // ---- operators' orders

    private Decision start() {
        long target = fields.getJsonNumber("target").longValueExact();
        int atOnce = fields.getInt("atOnce", DEFAULT_AT_ONCE);
        double floor = fields.get("floor") instanceof JsonNumber number ? number.doubleValue() : DEFAULT_FLOOR;
        int patienceS = fields.getInt("patienceS", DEFAULT_PATIENCE_S);
        if (atOnce < 1 || floor < 0 || floor >= 1 || patienceS < 1 || target < 0) {
            return Decision.invalid("atOnce from 1, floor from 0 to below 1, patienceS from 1, target from 0");
        }
        if (open()) {
            boolean same = current.targetWeights() == target
                    && current.maxUnavailable() == atOnce
                    && current.minInServiceShare() == floor;
            return Decision.answer(same ? Outcome.TAKEN : Outcome.CLASH);
        }
        if (!serviceExists()) {
            return Decision.invalid(new ConfigError.UnknownService("of the roll-out", order.arg()).text());
        }
        long from = fields.get("from") instanceof JsonNumber number ? number.longValue() : UNKNOWN_WEIGHTS;
        return write(new Rollout(
                order.arg(),
                target,
                from,
                atOnce,
                floor,
                patienceS,
                Status.RUNNING,
                "",
                state.lineage(),
                List.of(),
                List.of()));
    }

    private Decision resume() {
        if (current == null) {
            return Decision.answer(Outcome.NO_SUCH);
        }
        if (current.status() == Status.RUNNING) {
            return Decision.answer(Outcome.TAKEN);
        }
        return open()
                ? write(current.with(Status.RUNNING, "", current.swapping(), current.swapped()))
                : Decision.answer(Outcome.CLASH);
    }

    private Decision abort() {
        if (current == null) {
            return Decision.answer(Outcome.NO_SUCH);
        }
        // written also if it is over: the newer mark fences a start that is still on its way
        return write(open() ? current.with(Status.ABORTED, "", List.of(), current.swapped()) : current);
    }

    private Decision back() {
        if (current == null) {
            return Decision.answer(Outcome.NO_SUCH);
        }
        if (current.previousWeights() < 0) {
            return Decision.invalid("it is not known which checkpoint to turn back to");
        }
        return write(new Rollout(
                current.service(),
                current.previousWeights(),
                current.targetWeights(),
                current.maxUnavailable(),
                current.minInServiceShare(),
                current.swapTimeoutS(),
                Status.RUNNING,
                "",
                state.lineage(),
                current.swapping(),
                List.of()));
    }

    private boolean open() {
        return current != null && (current.status() == Status.RUNNING || current.status() == Status.PAUSED);
    }

    private boolean serviceExists() {
        return state.config().length > 0
                && FleetConfig.read(FleetConfig.unpack(state.config())) instanceof Validated.Valid<FleetConfig> config
                && config.value().service(order.arg()) != null;
    }

    // ---- steps of the controller in charge; whoever holds an older epoch is refused

    private Decision step(String name) {
        if (current == null) {
            return Decision.answer(Outcome.NO_SUCH);
        }
        boolean inCharge = fields.getJsonNumber(JsonCommand.EPOCH).longValue() == state.lineage();
        if (!inCharge || current.status() != Status.RUNNING) {
            return Decision.answer(Outcome.CLASH);
        }
        String engine = fields.getString("id", "");
        return switch (name) {
            case "turn" -> turn(engine);
            case "swapped" -> turnOver(engine, true);
            case "lost" -> turnOver(engine, false);
            case "pause" ->
                write(current.with(
                        Status.PAUSED, fields.getString("cause", ""), current.swapping(), current.swapped()));
            case "done" ->
                current.swapping().isEmpty()
                        ? write(current.with(Status.DONE, "", current.swapping(), current.swapped()))
                        : Decision.answer(Outcome.CLASH);
            default -> Decision.invalid("no such order: " + name);
        };
    }

    private Decision turn(String engine) {
        if (current.swapping().contains(engine)) {
            return Decision.answer(Outcome.TAKEN);
        }
        if (current.swapping().size() >= current.maxUnavailable()) {
            return Decision.answer(Outcome.CLASH);
        }
        List<String> turn = new ArrayList<>(current.swapping());
        turn.add(engine);
        return write(current.with(current.status(), "", turn, current.swapped()));
    }

    private Decision turnOver(String engine, boolean hasSwapped) {
        List<String> turn = new ArrayList<>(current.swapping());
        if (!turn.remove(engine)) {
            return Decision.answer(Outcome.TAKEN);
        }
        List<String> swapped = new ArrayList<>(current.swapped());
        if (hasSwapped) {
            swapped.add(engine);
        }
        return write(current.with(current.status(), "", turn, swapped));
    }

    private Decision write(Rollout rollout) {
        return Decision.commit(order, rollout.write().getBytes(UTF_8));
    }
}
