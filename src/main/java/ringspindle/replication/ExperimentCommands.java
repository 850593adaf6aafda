package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import ringspindle.api.Outcome;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.experiment.Experiment;
import ringspindle.experiment.Experiment.Plan;
import ringspindle.experiment.Experiment.Progress;
import ringspindle.experiment.Experiment.Standing;
import ringspindle.experiment.ExperimentDocument;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;

/** Decides one command on an experiment, from an operator or from the current judge. */
final class ExperimentCommands {
    private static final double MIN_RAMP = 0.001;

    private final State state;
    private final Call command;
    private final JsonObject fields;
    /** The experiment of that name, or null. */
    private final Experiment current;

    private ExperimentCommands(State state, Call command, JsonObject fields, Experiment current) {
        this.state = state;
        this.command = command;
        this.fields = fields;
        this.current = current;
    }

    /** Returns the decision on the command, a JSON object about the experiment that the call names. */
    static Decision decide(State state, Call command) {
        return JsonCommand.decide(state, command, MarkKind.EXPERIMENT, (fields, mark) -> {
            Experiment current = mark == null ? null : Experiment.read(mark.value());
            return new ExperimentCommands(state, command, fields, current).decide();
        });
    }

    private Decision decide() {
        String name = fields.getString("order");
        if (name.equals("start")) {
            return start();
        }
        if (current == null) {
            return Decision.answer(Outcome.NO_SUCH);
        }
        return switch (name) {
            case "ramp" -> ramp();
            case "pause" -> transition(Standing.RUNNING, Standing.PAUSED);
            case "resume" -> transition(Standing.PAUSED, Standing.RUNNING);
            case "halt" -> finish(Standing.HALTED, fields.getString("keep", ""));
            case "end" -> finish(Standing.ENDED, "");
            case "promote" -> promote();
            default -> decideJudgeCommand(name);
        };
    }

    // ---- operators' commands

    private Decision start() {
        Validated<ExperimentDocument.Started> read = ExperimentDocument.read(
                fields.getJsonObject("document").toString().getBytes(UTF_8));
        if (read instanceof Validated.Invalid<ExperimentDocument.Started> invalid) {
            return Decision.invalid(invalid.errors());
        }
        ExperimentDocument.Started started = ((Validated.Valid<ExperimentDocument.Started>) read).value();
        Plan plan = started.plan();
        if (!plan.name().equals(command.arg())) {
            return Decision.invalid(List.of(new ConfigError.OutOfRange("name", plan.name(), command.arg())));
        }
        if (current != null && current.isOpen()) {
            boolean same =
                    Experiment.start(plan, started.ramp(), current.id()).write().equals(current.write());
            return Decision.answer(same ? Outcome.TAKEN : Outcome.CLASH);
        }
        if (state.config().length == 0
                || !(FleetConfig.read(FleetConfig.unpack(state.config()))
                        instanceof Validated.Valid<FleetConfig> configuration)) {
            return Decision.invalid("there is no configuration yet");
        }
        List<ConfigError> errors = ExperimentDocument.check(plan, configuration.value(), Set.of());
        if (!errors.isEmpty()) {
            return Decision.invalid(errors);
        }
        Optional<String> conflict = findConflict(plan);
        return conflict.isPresent()
                ? Decision.invalid(conflict.get())
                : commit(Experiment.start(plan, started.ramp(), state.seq() + 1));
    }

    /**
     * Finds a conflict: a route takes part in at most one open experiment and follows at most one promoted policy, and
     * a salt is used once.
     */
    private Optional<String> findConflict(Plan plan) {
        for (Mark mark : state.marks()) {
            if (!MarkKind.EXPERIMENT.matches(mark)) {
                continue;
            }
            Experiment other = Experiment.read(mark.value());
            if (other.plan().salt().equals(plan.salt())) {
                return Optional.of("salt was used by experiment " + other.plan().name());
            }
            boolean inForce = other.isOpen() || !other.survivor().isEmpty();
            boolean replaced = other.plan().name().equals(plan.name());
            if (inForce && !replaced && other.plan().routes().stream().anyMatch(plan.routes()::contains)) {
                return Optional.of(
                        "a route of it is in experiment " + other.plan().name());
            }
        }
        return Optional.empty();
    }

    private Decision ramp() {
        double to = fields.get("to") instanceof JsonNumber number ? number.doubleValue() : 0;
        if (to < MIN_RAMP || to > 1) {
            return Decision.invalid(List.of(new ConfigError.OutOfRange("to", "" + to, MIN_RAMP + " to 1")));
        }
        if (!current.isOpen()) {
            return Decision.answer(Outcome.CLASH);
        }
        if (to < current.ramp()) {
            return Decision.invalid(List.of(
                    new ConfigError.OutOfRange("to", "" + to, "at least " + current.ramp() + ", as no side shrinks")));
        }
        return commit(current.rampedTo(to));
    }

    private Decision transition(Standing from, Standing to) {
        if (current.state() == to) {
            return Decision.answer(Outcome.TAKEN);
        }
        return current.state() == from ? commit(current.with(to, "", "")) : Decision.answer(Outcome.CLASH);
    }

    /**
     * Ends the experiment. Commits a mark even if it has already ended: the newer mark fences a start still in transit.
     */
    private Decision finish(Standing finalState, String survivor) {
        if (!survivor.isEmpty() && current.side(survivor).isEmpty()) {
            return unknownSide(survivor);
        }
        return commit(current.isOpen() ? current.with(finalState, survivor, "operator") : current);
    }

    private Decision promote() {
        String side = fields.getString("side", "");
        if (current.side(side).isEmpty()) {
            return unknownSide(side);
        }
        return commit(current.with(Standing.PROMOTED, side, "operator"));
    }

    private static Decision unknownSide(String name) {
        return Decision.invalid(List.of(new ConfigError.UnknownName("side", name)));
    }

    // ---- commands of the current judge; one with an older epoch is rejected

    private Decision decideJudgeCommand(String name) {
        boolean fromCurrentJudge = fields.getJsonNumber(JsonCommand.EPOCH).longValue() == state.lineage()
                && fields.getJsonNumber("id").longValue() == current.id();
        if (!fromCurrentJudge || current.state() != Standing.RUNNING) {
            return Decision.answer(Outcome.CLASH);
        }
        return switch (name) {
            case "look" -> recordLook();
            case "worse" ->
                commit(current.with(Standing.HALTED, fields.getString("survivor"), fields.getString("cause")));
            case "harm" -> commit(current.with(Standing.HALTED, "", fields.getString("cause")));
            case "over" -> commit(current.with(Standing.ENDED, "", fields.getString("cause")));
            case "stop" -> commit(current.with(Standing.PAUSED, "", fields.getString("cause")));
            default -> Decision.invalid("no such order: " + name);
        };
    }

    /** Numbers each look, so that its share of the error rate is spent once, whichever node looks. */
    private Decision recordLook() {
        int number = fields.getInt("look");
        return number == current.progress().looks() + 1
                ? commit(current.lookedAt(
                        new Progress(number, fields.getJsonNumber("requests").longValue(), fields.getInt("elapsedS"))))
                : Decision.answer(Outcome.CLASH);
    }

    private Decision commit(Experiment experiment) {
        return Decision.commit(command, experiment.write().getBytes(UTF_8));
    }
}
