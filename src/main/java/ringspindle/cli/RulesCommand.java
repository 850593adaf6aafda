package ringspindle.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.validators.PositiveInteger;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import ringspindle.api.Operation;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;
import ringspindle.routing.RequestAttributes;
import ringspindle.routing.ServingRules;
import ringspindle.routing.ServingRulesValidator;

/** {@code rules}: reads, checks, replaces, compares or explains the serving rules, and shows which nodes follow them. */
@Parameters(commandDescription = "serving rules: get | check FILE | put FILE | diff FILE | explain | status")
final class RulesCommand extends FleetCommand {
    private static final String USAGE = "rules get | check FILE | put FILE | diff FILE | explain | status";

    @Parameter(description = "get | check FILE | put FILE | diff FILE | explain | status")
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--base", description = "the revision to build on (default: the one in force)")
    private Long base;

    @Parameter(
            names = "--config",
            description = "check, explain: a configuration's file, to check routes and models against")
    private String config;

    @Parameter(names = "--regions", description = "check: the regions there are, separated by commas")
    private List<String> regions = new ArrayList<>();

    @Parameter(names = "--file", description = "explain: a rules file (default: those in force)")
    private String file;

    @Parameter(names = "--route", description = "explain: the request's route")
    private String route = "";

    @Parameter(names = "--host", description = "explain: its host")
    private String host = "";

    @Parameter(names = "--path", description = "explain: its path")
    private String path = "/";

    @Parameter(names = "--model", description = "explain: its model")
    private String model = "";

    @Parameter(names = "--prompt", description = "explain: its prompt tokens", validateWith = PositiveInteger.class)
    private int prompt;

    @Parameter(
            names = "--prefix",
            description = "explain: its Prompt-Prefix",
            validateWith = PromptPrefixValidator.class)
    private String prefix = "";

    @Parameter(names = "--home", description = "explain: it is bound to regions")
    private boolean home;

    @Override
    Optional<ExitCode> runOffline(Console console) {
        if (verb(arguments, "").equals("check")) {
            requireArguments(arguments, 2, "rules check FILE");
            return Optional.of(check(arguments.get(1), console));
        }
        if (file != null && arguments.equals(List.of("explain"))) {
            return Optional.of(explainFile(console));
        }
        return Optional.empty();
    }

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        String verb = verb(arguments, "");
        if (arguments.size() == 1) {
            return switch (verb) {
                case "get" -> console.show(client.call(Operation.RULES_GET), wantsJson(), console::print);
                case "status" -> RulesStatus.print(client, wantsJson(), console);
                case "explain" -> explainInForce(client, console);
                default -> throw expected(USAGE);
            };
        }
        if (!List.of("put", "diff").contains(verb) || arguments.size() != 2) {
            throw expected(USAGE);
        }
        return changeOrCompare(verb, client, console);
    }

    private ExitCode changeOrCompare(String verb, ControlPlaneClient client, Console console)
            throws InterruptedException {
        byte[] body = read(arguments.get(1));
        RevisionedDocument rules = new RevisionedDocument(Operation.RULES_GET, client, console);
        return verb.equals("put")
                ? rules.update(Operation.RULES_PUT, base, body)
                : rules.diff(body, (current, changed) -> printDifferences(current, changed, console));
    }

    /** The control plane's own checks. */
    private ExitCode check(String name, Console console) {
        Validated<ServingRules> rules = ServingRules.read(read(name));
        if (rules instanceof Invalid<ServingRules> invalid) {
            return console.refused("", invalid.errors());
        }
        return check(((Valid<ServingRules>) rules).value(), console);
    }

    private ExitCode check(ServingRules rules, Console console) {
        FleetConfig fleet = null;
        if (config != null) {
            Validated<FleetConfig> read = FleetConfig.read(read(config));
            if (read instanceof Invalid<FleetConfig> invalid) {
                return console.refused("the configuration: ", invalid.errors());
            }
            fleet = ((Valid<FleetConfig>) read).value();
        }
        List<ConfigError> errors = ServingRulesValidator.validate(rules, fleet, new TreeSet<>(regions));
        if (!errors.isEmpty()) {
            return console.refused("", errors);
        }
        console.print("valid");
        return ExitCode.OK;
    }

    private ExitCode explainFile(Console console) {
        return explain(read(file), List.of(), console);
    }

    private ExitCode explainInForce(ControlPlaneClient client, Console console) throws InterruptedException {
        ControlPlaneReply reply = client.call(Operation.RULES_GET);
        if (!(reply instanceof ControlPlaneReply.Accepted rules)) {
            return console.report(reply);
        }
        return explain(rules.bytes(), CandidateEngines.ofRoute(route, client), console);
    }

    private ExitCode explain(byte[] body, List<Explain.Candidate> engines, Console console) {
        Validated<ServingRules> rules = ServingRules.read(body);
        if (rules instanceof Invalid<ServingRules> invalid) {
            return console.refused("", invalid.errors());
        }
        RequestAttributes request = new RequestAttributes(route, host, path, model, prompt, home);
        Explain.lines(((Valid<ServingRules>) rules).value(), request, prefix, engines)
                .forEach(console::print);
        return ExitCode.OK;
    }

    /** Rules by name, the default, and the order, which decides between rules. */
    private static void printDifferences(JsonObject current, JsonObject changed, Console console) {
        NamedItems.differences(current, changed, "rules", "").forEach(console::print);
        if (!Objects.equals(current.get("default"), changed.get("default"))) {
            console.print("~ default");
        }
        List<String> before = NamedItems.names(current, "rules");
        List<String> after = NamedItems.names(changed, "rules");
        if (!before.equals(after)) {
            console.print("order " + before + " -> " + after);
        }
    }
}
