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

/** Decides one command on a rollout, from an operator or from the current controller. */
final class RolloutCommands {
    private static final int DEFAULT_MAX_UNAVAILABLE = 1;
    private static final double DEFAULT_MIN_IN_SERVICE_SHARE = 0.5;
    private static final int DEFAULT_SWAP_TIMEOUT_S = 120;
    private static final long UNKNOWN_WEIGHTS = -1;

    private final State state;
    private final Call command;
    private final JsonObject fields;
    /** The service's rollout, or null. */
    private final Rollout current;

    private RolloutCommands(State state, Call command, JsonObject fields, Rollout current) {
        this.state = state;
        this.command = command;
        this.fields = fields;
        this.current = current;
    }

    /** Returns the decision on the command, a JSON object about the service that the call names. */
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
            case "back" -> rollBack();
            default -> decideControllerStep(name);
        };
    }

    // ---- operators' commands

    private Decision start() {
        long targetWeights = fields.getJsonNumber("target").longValueExact();
        int maxUnavailable = fields.getInt("atOnce", DEFAULT_MAX_UNAVAILABLE);
        double minInServiceShare =
                fields.get("floor") instanceof JsonNumber number ? number.doubleValue() : DEFAULT_MIN_IN_SERVICE_SHARE;
        int swapTimeoutS = fields.getInt("patienceS", DEFAULT_SWAP_TIMEOUT_S);
        if (maxUnavailable < 1
                || minInServiceShare < 0
                || minInServiceShare >= 1
                || swapTimeoutS < 1
                || targetWeights < 0) {
            return Decision.invalid("atOnce from 1, floor from 0 to below 1, patienceS from 1, target from 0");
        }
        if (isOpen()) {
            boolean same = current.targetWeights() == targetWeights
                    && current.maxUnavailable() == maxUnavailable
                    && current.minInServiceShare() == minInServiceShare;
            return Decision.answer(same ? Outcome.TAKEN : Outcome.CLASH);
        }
        if (!serviceExists()) {
            return Decision.invalid(new ConfigError.UnknownService("of the roll-out", command.arg()).text());
        }
        long previousWeights = fields.get("from") instanceof JsonNumber number ? number.longValue() : UNKNOWN_WEIGHTS;
        return commit(new Rollout(
                command.arg(),
                targetWeights,
                previousWeights,
                maxUnavailable,
                minInServiceShare,
                swapTimeoutS,
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
        return isOpen()
                ? commit(current.with(Status.RUNNING, "", current.swapping(), current.swapped()))
                : Decision.answer(Outcome.CLASH);
    }

    private Decision abort() {
        if (current == null) {
            return Decision.answer(Outcome.NO_SUCH);
        }
        // commit a mark even if it has already ended: the newer mark fences a start still in transit
        return commit(isOpen() ? current.with(Status.ABORTED, "", List.of(), current.swapped()) : current);
    }

    private Decision rollBack() {
        if (current == null) {
            return Decision.answer(Outcome.NO_SUCH);
        }
        if (current.previousWeights() < 0) {
            return Decision.invalid("it is not known which checkpoint to turn back to");
        }
        return commit(new Rollout(
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

    private boolean isOpen() {
        return current != null && (current.status() == Status.RUNNING || current.status() == Status.PAUSED);
    }

    private boolean serviceExists() {
        return state.config().length > 0
                && FleetConfig.read(FleetConfig.unpack(state.config())) instanceof Validated.Valid<FleetConfig> config
                && config.value().service(command.arg()) != null;
    }

    // ---- commands of the current controller; one with an older epoch is rejected

    private Decision decideControllerStep(String name) {
        if (current == null) {
            return Decision.answer(Outcome.NO_SUCH);
        }
        boolean fromCurrentController = fields.getJsonNumber(JsonCommand.EPOCH).longValue() == state.lineage();
        if (!fromCurrentController || current.status() != Status.RUNNING) {
            return Decision.answer(Outcome.CLASH);
        }
        String engine = fields.getString("id", "");
        return switch (name) {
            case "turn" -> startSwap(engine);
            case "swapped" -> finishSwap(engine, true);
            case "lost" -> finishSwap(engine, false);
            case "pause" ->
                commit(current.with(
                        Status.PAUSED, fields.getString("cause", ""), current.swapping(), current.swapped()));
            case "done" ->
                current.swapping().isEmpty()
                        ? commit(current.with(Status.DONE, "", current.swapping(), current.swapped()))
                        : Decision.answer(Outcome.CLASH);
            default -> Decision.invalid("no such order: " + name);
        };
    }

    private Decision startSwap(String engine) {
        if (current.swapping().contains(engine)) {
            return Decision.answer(Outcome.TAKEN);
        }
        if (current.swapping().size() >= current.maxUnavailable()) {
            return Decision.answer(Outcome.CLASH);
        }
        List<String> swapping = new ArrayList<>(current.swapping());
        swapping.add(engine);
        return commit(current.with(current.status(), "", swapping, current.swapped()));
    }

    private Decision finishSwap(String engine, boolean success) {
        List<String> swapping = new ArrayList<>(current.swapping());
        if (!swapping.remove(engine)) {
            return Decision.answer(Outcome.TAKEN);
        }
        List<String> swapped = new ArrayList<>(current.swapped());
        if (success) {
            swapped.add(engine);
        }
        return commit(current.with(current.status(), "", swapping, swapped));
    }

    private Decision commit(Rollout rollout) {
        return Decision.commit(command, rollout.write().getBytes(UTF_8));
    }
}
