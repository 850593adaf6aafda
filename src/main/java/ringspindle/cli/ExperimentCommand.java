package ringspindle.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import jakarta.json.Json;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import ringspindle.api.Operation;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;
import ringspindle.experiment.ExperimentDocument;

/** {@code experiment}: checks and starts experiments over routing policies, shows them, and orders what becomes of one. */
@Parameters(
        commandDescription =
                "policies compared by session: list | check | start | show | ramp | pause | halt | promote")
final class ExperimentCommand extends FleetCommand {
    private static final String USAGE =
            "experiment list | show NAME | check FILE | start FILE | ramp NAME --to PART | pause NAME"
                    + " | resume NAME | halt NAME [--keep SIDE] | end NAME | promote NAME --side SIDE";
    private static final Set<String> ORDERS = Set.of("ramp", "pause", "resume", "halt", "end", "promote");
    private static final String[] COLUMNS = {
        "name", "state", "ramp", "looks", "requests", "elapsedS", "survivor", "cause"
    };
    private static final String[] COMPARISON_COLUMNS = {"side", "route", "region", "measure", "difference", "radius"};

    @Parameter(description = "list | show NAME | check FILE | start FILE | ORDER NAME")
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--config", description = "check: a configuration's file, to check routes against")
    private String config;

    @Parameter(names = "--to", description = "ramp: the part of its range that each side is to hold, up to 1")
    private Double to;

    @Parameter(
            names = "--keep",
            description = "halt: the side whose policy all sessions follow (default: the ordinary policy)")
    private String keep = "";

    @Parameter(names = "--side", description = "promote: the side whose policy all sessions follow from now on")
    private String side;

    @Override
    Optional<ExitCode> runOffline(Console console) {
        if (!verb(arguments, "").equals("check")) {
            return Optional.empty();
        }
        requireArguments(arguments, 2, "experiment check FILE");
        return Optional.of(check(arguments.get(1), console));
    }

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        String verb = verb(arguments, "list");
        if (verb.equals("list") && arguments.size() <= 1) {
            return console.show(client.call(Operation.EXPERIMENTS), wantsJson(), page -> printList(page, console));
        }
        if (arguments.size() != 2) {
            throw expected(USAGE);
        }
        String name = arguments.get(1);
        if (verb.equals("show")) {
            return show(name, client, console);
        }
        if (verb.equals("start")) {
            return start(name, client, console);
        }
        if (!ORDERS.contains(verb)) {
            throw expected(USAGE);
        }
        return console.report(
                client.call(ControlPlaneCall.of(Operation.EXPERIMENT, name).withBody(order(verb))));
    }

    // ---- offline

    private ExitCode check(String file, Console console) {
        Validated<ExperimentDocument.Started> read = ExperimentDocument.read(read(file));
        if (read instanceof Invalid<ExperimentDocument.Started> invalid) {
            return console.refused("", invalid.errors());
        }
        return checkNames(((Valid<ExperimentDocument.Started>) read).value(), console);
    }

    private ExitCode checkNames(ExperimentDocument.Started started, Console console) {
        if (config != null) {
            Validated<FleetConfig> read = FleetConfig.read(read(config));
            if (read instanceof Invalid<FleetConfig> invalid) {
                return console.refused("the configuration: ", invalid.errors());
            }
            List<ConfigError> errors =
                    ExperimentDocument.check(started.plan(), ((Valid<FleetConfig>) read).value(), Set.of());
            if (!errors.isEmpty()) {
                return console.refused("", errors);
            }
        }
        console.print("valid");
        return ExitCode.OK;
    }

    // ---- orders

    private ExitCode start(String file, ControlPlaneClient client, Console console) throws InterruptedException {
        byte[] document = read(file);
        Validated<ExperimentDocument.Started> read = ExperimentDocument.read(document);
        if (read instanceof Invalid<ExperimentDocument.Started> invalid) {
            return console.refused("", invalid.errors());
        }
        String name = ((Valid<ExperimentDocument.Started>) read).value().plan().name();
        JsonObject source = ((Valid<JsonObject>) FleetConfig.json(document)).value();
        byte[] order = Json.createObjectBuilder()
                .add("order", "start")
                .add("document", source)
                .build()
                .toString()
                .getBytes(UTF_8);
        return console.report(
                client.call(ControlPlaneCall.of(Operation.EXPERIMENT, name).withBody(order)));
    }

    private byte[] order(String verb) {
        JsonObjectBuilder order = Json.createObjectBuilder().add("order", verb);
        switch (verb) {
            case "ramp" -> {
                if (to == null) {
                    throw expected("experiment ramp NAME --to PART");
                }
                order.add("to", to);
            }
            case "halt" -> order.add("keep", keep);
            case "promote" -> {
                if (side == null) {
                    throw expected("experiment promote NAME --side SIDE");
                }
                order.add("side", side);
            }
            default -> {
                // the others have nothing to add
            }
        }
        return order.build().toString().getBytes(UTF_8);
    }

    // ---- pages

    private static void printList(JsonObject page, Console console) {
        JsonArrayBuilder rows = Json.createArrayBuilder();
        for (JsonObject experiment : page.getJsonArray("experiments").getValuesAs(JsonObject.class)) {
            rows.add(Json.createObjectBuilder(experiment)
                    .add("name", experiment.getJsonObject("plan").getString("name")));
        }
        console.printTable(rows.build(), COLUMNS);
    }

    /** Only the node in charge has the counts, so the others are asked until it answers. */
    private ExitCode show(String name, ControlPlaneClient client, Console console) throws InterruptedException {
        ControlPlaneReply reply = client.call(Operation.EXPERIMENTS);
        for (String node : client.nodes()) {
            if (reply instanceof ControlPlaneReply.Accepted page && page.json().getBoolean("judges", false)) {
                break;
            }
            reply = client.callOnce(node, Operation.EXPERIMENTS);
        }
        return console.show(reply, wantsJson(), page -> printOne(page, name, console));
    }

    private static void printOne(JsonObject page, String name, Console console) {
        for (JsonObject experiment : page.getJsonArray("experiments").getValuesAs(JsonObject.class)) {
            if (experiment.getJsonObject("plan").getString("name").equals(name)) {
                console.print(name + ": " + experiment.getString("state") + ", ramp "
                        + experiment.getJsonNumber("ramp") + ", looks " + experiment.getInt("looks")
                        + (experiment.getString("cause").isEmpty() ? "" : ", " + experiment.getString("cause")));
                if (experiment.containsKey("comparisons")) {
                    console.printTable(experiment.getJsonArray("comparisons"), COMPARISON_COLUMNS);
                }
                return;
            }
        }
        console.print("no experiment " + name);
    }
}
