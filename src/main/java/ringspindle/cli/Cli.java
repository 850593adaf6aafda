package ringspindle.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.validators.PositiveInteger;
import jakarta.json.JsonArray;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonReader;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import jakarta.json.spi.JsonProvider;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import ringspindle.api.Operation;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;
import ringspindle.protocol.NodeId;
import ringspindle.routing.RequestAttributes;
import ringspindle.routing.ServingRules;
import ringspindle.transport.LifeCycles;
import ringspindle.transport.PlainConnector;

/** The operator's command line over the whole fleet, through any control node. */
public final class Cli {
    /** All went as asked. */
    public static final int OK = 0;
    /** Something failed that is none of the below. */
    public static final int FAILED = 1;
    /** The command cannot be understood. */
    public static final int USAGE = 2;
    /** The fleet, or the offline check, refused it. */
    public static final int REFUSED = 3;
    /** No control node gave a clear answer. */
    public static final int NOT_REACHED = 4;

    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int ROUNDS = 8;

    /** What every command takes. */
    static class Common {
        @Parameter(
                names = {"--control", "-c"},
                description = "control nodes, ip:port, separated by commas (or RINGSPINDLE_CONTROL)")
        String control = System.getenv("RINGSPINDLE_CONTROL");

        @Parameter(names = "--json", description = "JSON instead of a table")
        boolean json;

        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "this text")
        boolean help;
    }

    @Parameters(commandDescription = "nodes, sessions, view and chain, duties with epochs")
    static final class Status extends Common {}

    @Parameters(commandDescription = "engines as last heard")
    static final class Engines extends Common {}

    @Parameters(commandDescription = "mappings of the configuration in force")
    static final class Mappings extends Common {}

    @Parameters(commandDescription = "get | check FILE | put FILE | patch FILE | diff FILE")
    static final class Config extends Common {
        @Parameter(description = "get | check FILE | put FILE | patch FILE | diff FILE")
        List<String> words = new ArrayList<>();

        @Parameter(names = "--base", description = "the version to build on (default: the one in force)")
        Long base;
    }

    @Parameters(commandDescription = "nothing more to the engines of ZONE")
    static final class Evacuate extends Common {
        @Parameter(description = "ZONE")
        List<String> words = new ArrayList<>();
    }

    @Parameters(commandDescription = "takes the evacuation of ZONE back")
    static final class Restore extends Common {
        @Parameter(description = "ZONE")
        List<String> words = new ArrayList<>();
    }

    @Parameters(commandDescription = "show | start SERVICE --target N | resume SERVICE | abort SERVICE | back SERVICE")
    static final class Rollout extends Common {
        @Parameter(description = "show | start SERVICE | resume SERVICE | abort SERVICE | back SERVICE")
        List<String> words = new ArrayList<>();

        @Parameter(names = "--target", description = "the checkpoint that all engines are to have")
        Long target;

        @Parameter(names = "--at-once", description = "how many engines may be out for it at a time")
        int atOnce = 1;

        @Parameter(names = "--floor", description = "share of a region's engines that stays in service")
        double floor = 0.5;

        @Parameter(names = "--patience", description = "seconds after which an engine that has not swapped pauses it")
        int patienceS = 120;
    }

    @Parameters(commandDescription = "serving rules: get | check FILE | put FILE | diff FILE | explain | status")
    static final class Rules extends Common {
        @Parameter(description = "get | check FILE | put FILE | diff FILE | explain | status")
        List<String> words = new ArrayList<>();

        @Parameter(names = "--base", description = "the revision to build on (default: the one in force)")
        Long base;

        @Parameter(
                names = "--config",
                description = "check, explain: a configuration's file, to check routes and models against")
        String config;

        @Parameter(names = "--regions", description = "check: the regions there are, separated by commas")
        List<String> regions = new ArrayList<>();

        @Parameter(names = "--file", description = "explain: a rules file (default: those in force)")
        String file;

        @Parameter(names = "--route", description = "explain: the request's route")
        String route = "";

        @Parameter(names = "--host", description = "explain: its host")
        String host = "";

        @Parameter(names = "--path", description = "explain: its path")
        String path = "/";

        @Parameter(names = "--model", description = "explain: its model")
        String model = "";

        @Parameter(names = "--prompt", description = "explain: its prompt tokens", validateWith = PositiveInteger.class)
        int prompt;

        @Parameter(
                names = "--prefix",
                description = "explain: its Prompt-Prefix",
                validateWith = PromptPrefixValidator.class)
        String prefix = "";

        @Parameter(names = "--home", description = "explain: it is bound to regions")
        boolean home;
    }

    @Parameters(commandDescription = "what became of the requests, by class and revision of the serving rules")
    static final class RequestLedger extends Common {}

    /** What came back: an HTTP status, 0 if nobody was reached. */
    record Reply(int status, String body) {}

    private final PrintStream out;
    private final PrintStream err;
    private final Map<String, Common> commands = new LinkedHashMap<>();

    Cli(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
        commands.put("status", new Status());
        commands.put("engines", new Engines());
        commands.put("mappings", new Mappings());
        commands.put("config", new Config());
        commands.put("evacuate", new Evacuate());
        commands.put("restore", new Restore());
        commands.put("rollout", new Rollout());
        commands.put("rules", new Rules());
        commands.put("ledger", new RequestLedger());
    }

    /** The operator's commands, for the program's own list; {@code Cli.create(System.out, System.err)}. */
    public static Cli create(PrintStream out, PrintStream err) {
        return new Cli(out, err);
    }

    /** Adds the commands to a parser; {@code cli.addTo(parser)}. */
    public void addTo(JCommander parser) {
        commands.forEach(parser::addCommand);
    }

    /** Whether help on a command was asked for; {@code cli.wantsHelp("status")}. */
    public boolean wantsHelp(String name) {
        return commands.containsKey(name) && commands.get(name).help;
    }

    /** Runs a command that was parsed; {@code cli.run("status")} gives the exit code. */
    public int run(String name) {
        try {
            return execute(commands.get(name));
        } catch (ParameterException x) {
            err.println(x.getMessage());
            err.println(CommandLine.usageLine(name, commands.get(name)));
            return USAGE;
        }
    }

    private int execute(Common c) {
        if (c instanceof Config g && !g.words.isEmpty() && g.words.get(0).equals("check")) {
            requireWords(g.words, 2, "config check FILE");
            return check(g.words.get(1));
        }
        if (c instanceof Rules r && !r.words.isEmpty() && r.words.get(0).equals("check")) {
            requireWords(r.words, 2, "rules check FILE");
            return check(r, r.words.get(1));
        }
        if (c instanceof Rules r && r.file != null && r.words.equals(List.of("explain"))) {
            return explain(r, r.file, List.of());
        }
        if (c.control == null || c.control.isBlank()) {
            throw new ParameterException("no control nodes: give --control ip:port,... or RINGSPINDLE_CONTROL");
        }
        List<String> nodes = new ArrayList<>();
        for (String s : c.control.split(",")) {
            try {
                nodes.add(NodeId.of(s.trim()).toString());
            } catch (RuntimeException x) {
                throw new ParameterException("not an address: " + s);
            }
        }
        try (FleetStatus fleet = new FleetStatus(nodes)) {
            if (c instanceof Status) {
                return show(c, fleet.call(Operation.STATUS, "", null, null), this::status);
            }
            if (c instanceof Engines) {
                return show(
                        c,
                        fleet.call(Operation.ENGINES, "", null, null),
                        o -> table(
                                o.getJsonArray("engines"),
                                "id",
                                "service",
                                "zone",
                                "address",
                                "state",
                                "weights",
                                "beatAgeMs",
                                "turn"));
            }
            if (c instanceof Mappings) {
                return show(
                        c,
                        fleet.call(Operation.CONFIG_GET, "", null, null),
                        o -> table(
                                o.getJsonArray("routes"),
                                "name",
                                "host",
                                "pathPrefix",
                                "routeKind",
                                "service",
                                "weightedTargets",
                                "deadlineMs",
                                "priority",
                                "homeRegions"));
            }
            if (c instanceof Config g) {
                return config(fleet, g);
            }
            if (c instanceof Evacuate e) {
                requireWords(e.words, 1, "evacuate ZONE");
                return done(fleet.call(Operation.EVACUATE, e.words.get(0), null, null));
            }
            if (c instanceof Restore e) {
                requireWords(e.words, 1, "restore ZONE");
                return done(fleet.call(Operation.RESTORE, e.words.get(0), null, null));
            }
            if (c instanceof Rules r) {
                return rules(fleet, r);
            }
            if (c instanceof RequestLedger) {
                return ledger(fleet, c);
            }
            return rollout(fleet, (Rollout) c);
        } catch (ParameterException x) {
            throw x;
        } catch (Exception x) {
            err.println("failed: " + x.getMessage());
            return FAILED;
        }
    }

    private int unreadable(String file) {
        err.println("cannot read " + file);
        return USAGE;
    }

    private static void requireWords(List<String> words, int count, String expected) {
        if (words.size() != count) {
            throw badWords(expected);
        }
    }

    private static ParameterException badWords(String expected) {
        return new ParameterException("expected " + expected);
    }

    private int check(String file) {
        byte[] body;
        try {
            body = Files.readAllBytes(Path.of(file));
        } catch (IOException x) {
            return unreadable(file);
        }
        if (FleetConfig.read(body) instanceof Invalid<FleetConfig> bad) {
            bad.problems().forEach(p -> err.println("refused: " + p.text()));
            return REFUSED;
        }
        out.println("valid");
        return OK;
    }

    private byte[] file(String name) throws IOException {
        return Files.readAllBytes(Path.of(name));
    }

    /** The control plane's very checks, offline. */
    private int check(Rules r, String name) {
        try {
            Validated<ServingRules> rules = ServingRules.read(file(name));
            List<ConfigError> problems = new ArrayList<>();
            if (rules instanceof Invalid<ServingRules> bad) {
                problems.addAll(bad.problems());
            } else {
                FleetConfig config = null;
                if (r.config != null) {
                    Validated<FleetConfig> c = FleetConfig.read(file(r.config));
                    if (c instanceof Invalid<FleetConfig> bad) {
                        bad.problems().forEach(p -> err.println("refused: the configuration: " + p.text()));
                        return REFUSED;
                    }
                    config = ((Valid<FleetConfig>) c).value();
                }
                problems.addAll(((Valid<ServingRules>) rules).value().problems(config, new TreeSet<>(r.regions)));
            }
            problems.forEach(p -> err.println("refused: " + p.text()));
            if (problems.isEmpty()) {
                out.println("valid");
            }
            return problems.isEmpty() ? OK : REFUSED;
        } catch (IOException x) {
            return unreadable(x.getMessage());
        }
    }

    private int explain(Rules r, String name, List<Explain.Candidate> engines) {
        try {
            return explain(r, file(name), engines);
        } catch (IOException x) {
            return unreadable(name);
        }
    }

    private int explain(Rules r, byte[] rules, List<Explain.Candidate> engines) {
        if (ServingRules.read(rules) instanceof Invalid<ServingRules> bad) {
            bad.problems().forEach(p -> err.println("refused: " + p.text()));
            return REFUSED;
        }
        RequestAttributes asked = new RequestAttributes(r.route, r.host, r.path, r.model, r.prompt, r.home);
        Explain.lines(((Valid<ServingRules>) ServingRules.read(rules)).value(), asked, r.prefix, engines)
                .forEach(out::println);
        return OK;
    }

    private int rules(FleetStatus fleet, Rules r) throws Exception {
        String word = r.words.isEmpty() ? "" : r.words.get(0);
        if (word.equals("get") && r.words.size() == 1) {
            return show(r, fleet.call(Operation.RULES_GET, "", null, null), o -> out.println(o));
        }
        if (word.equals("status") && r.words.size() == 1) {
            return followed(fleet, r);
        }
        if (word.equals("explain") && r.words.size() == 1) {
            Reply now = fleet.call(Operation.RULES_GET, "", null, null);
            if (now.status() != 200) {
                return done(now);
            }
            return explain(r, now.body().getBytes(UTF_8), candidates(fleet, r));
        }
        if (!List.of("put", "diff").contains(word) || r.words.size() != 2) {
            throw badWords("rules get | check FILE | put FILE | diff FILE | explain | status");
        }
        byte[] body;
        try {
            body = file(r.words.get(1));
        } catch (IOException x) {
            return unreadable(r.words.get(1));
        }
        Long base = r.base;
        JsonObject current = null;
        if (base == null || word.equals("diff")) {
            Reply now = fleet.call(Operation.RULES_GET, "", null, null);
            if (now.status() != 200 && now.status() != 404) {
                return done(now);
            }
            current = now.status() == 200 ? parse(now.body()) : null;
            base = base != null
                    ? base
                    : current == null
                            ? Long.valueOf(0)
                            : Long.valueOf(current.getJsonNumber("revision").longValue());
        }
        if (word.equals("diff")) {
            if (!(FleetConfig.json(body) instanceof Valid<JsonObject> mine)) {
                err.println("refused: not a whole JSON object");
                return REFUSED;
            }
            diffRules(current == null ? JsonValue.EMPTY_JSON_OBJECT : current, mine.value());
            return OK;
        }
        return done(fleet.call(Operation.RULES_PUT, "", base, body));
    }

    /** Rules by name, and whether their order differs. */
    private void diffRules(JsonObject now, JsonObject mine) {
        out.println("revision " + now.get("revision") + " -> " + mine.get("revision"));
        Map<String, JsonObject> a = named(now, "rules");
        Map<String, JsonObject> b = named(mine, "rules");
        Set<String> names = new TreeSet<>(a.keySet());
        names.addAll(b.keySet());
        for (String n : names) {
            if (!a.containsKey(n)) {
                out.println("+ " + n);
            } else if (!b.containsKey(n)) {
                out.println("- " + n);
            } else if (!a.get(n).equals(b.get(n))) {
                out.println("~ " + n);
            }
        }
        if (!Objects.equals(now.get("default"), mine.get("default"))) {
            out.println("~ default");
        }
        if (!order(now).equals(order(mine))) {
            out.println("order " + order(now) + " -> " + order(mine));
        }
    }

    private static List<String> order(JsonObject o) {
        List<String> names = new ArrayList<>();
        if (o.get("rules") instanceof JsonArray a) {
            a.getValuesAs(JsonObject.class).forEach(x -> names.add(x.getString("name", "")));
        }
        return names;
    }

    private List<Explain.Candidate> candidates(FleetStatus fleet, Rules r) throws Exception {
        Reply engines = fleet.call(Operation.ENGINES, "", null, null);
        Reply config = fleet.call(Operation.CONFIG_GET, "", null, null);
        List<Explain.Candidate> out = new ArrayList<>();
        if (engines.status() != 200
                || config.status() != 200
                || !(FleetConfig.read(config.body().getBytes(UTF_8)) instanceof Valid<FleetConfig> c)) {
            return out;
        }
        FleetConfig.Route route = c.value().mappings().stream()
                .filter(m -> m.name().equals(r.route))
                .findFirst()
                .orElse(null);
        for (JsonObject e : parse(engines.body()).getJsonArray("engines").getValuesAs(JsonObject.class)) {
            boolean serves = route == null
                    || route.targets().stream().anyMatch(t -> t.service().equals(e.getString("service")));
            boolean home =
                    route == null || route.homes().isEmpty() || route.homes().contains(e.getString("region", ""));
            if (serves && home) {
                out.add(new Explain.Candidate(
                        e.getString("id"), e.getString("zone"), e.getString("region", ""), e.getString("state")));
            }
        }
        return out;
    }

    /** What all control nodes that can be reached say, and who cannot; null after a message if there is nobody. */
    private FleetLedger gathered(FleetStatus fleet, Set<String> unreached) throws Exception {
        Reply status = fleet.call(Operation.STATUS, "", null, null);
        if (status.status() != 200) {
            done(status);
            return null;
        }
        Set<String> all = new TreeSet<>(fleet.nodes);
        for (JsonObject s : parse(status.body()).getJsonArray("sessions").getValuesAs(JsonObject.class)) {
            if (!s.getString("control", "").isEmpty()) {
                all.add(s.getString("control"));
            }
        }
        FleetLedger out = new FleetLedger();
        for (String node : all) {
            Reply r = fleet.once(node, Operation.LEDGER);
            if (r.status() == 200) {
                out.add(parse(r.body()));
            } else {
                unreached.add(node);
            }
        }
        return out;
    }

    private int followed(FleetStatus fleet, Rules c) throws Exception {
        Set<String> unreached = new TreeSet<>();
        FleetLedger l = gathered(fleet, unreached);
        if (l == null) {
            return NOT_REACHED;
        }
        boolean all = l.all() && unreached.isEmpty();
        if (c.json) {
            out.println(JSON.createObjectBuilder()
                    .add("revision", l.revision())
                    .add("all", all)
                    .add("regions", l.regionTable())
                    .add("unreached", String.join(", ", unreached))
                    .add("idle", String.join(", ", l.idle()))
                    .build());
        } else {
            out.println("rules in force: " + (l.revision() == 0 ? "none" : "revision " + l.revision()));
            table(l.regionTable(), "region", "follow", "other", "unheard", "notInTouch");
            l.idle().forEach(n -> out.println("idle, as its route is not there: " + n));
            unreached.forEach(n -> out.println("not reached, so nodes that report there are not known: " + n));
            out.println(all ? "every node in touch follows them" : "not every node is known to follow them");
        }
        return all ? OK : FAILED;
    }

    private int ledger(FleetStatus fleet, Common c) throws Exception {
        Set<String> unreached = new TreeSet<>();
        FleetLedger l = gathered(fleet, unreached);
        if (l == null) {
            return NOT_REACHED;
        }
        List<String> broken = l.broken();
        if (c.json) {
            JsonArrayBuilder b = JSON.createArrayBuilder();
            broken.forEach(b::add);
            out.println(JSON.createObjectBuilder()
                    .add("classes", l.table())
                    .add("broken", b)
                    .add("unreached", String.join(", ", unreached))
                    .build());
        } else {
            table(
                    l.table(),
                    "revision",
                    "class",
                    "admitted",
                    "inProgress",
                    "unknown",
                    "completed",
                    "clientGone",
                    "overdue",
                    "nodeEnds",
                    "givenUp",
                    "sent",
                    "notRun",
                    "mayHaveRun",
                    "resumed");
            unreached.forEach(n -> out.println("not reached, so actions counted there are missing: " + n));
            broken.forEach(b -> err.println("broken law: " + b));
            out.println(broken.isEmpty() ? "all laws hold in what was heard" : broken.size() + " laws broken");
        }
        return broken.isEmpty() ? OK : FAILED;
    }

    private int config(FleetStatus fleet, Config g) throws Exception {
        String word = g.words.isEmpty() ? "" : g.words.get(0);
        if (word.equals("get") && g.words.size() == 1) {
            return show(g, fleet.call(Operation.CONFIG_GET, "", null, null), o -> out.println(o));
        }
        if (!List.of("put", "patch", "diff").contains(word) || g.words.size() != 2) {
            throw badWords("config get | check FILE | put FILE | patch FILE | diff FILE");
        }
        byte[] body;
        try {
            body = Files.readAllBytes(Path.of(g.words.get(1)));
        } catch (IOException x) {
            return unreadable(g.words.get(1));
        }
        Long base = g.base;
        JsonObject current = null;
        if (base == null || word.equals("diff")) {
            Reply now = fleet.call(Operation.CONFIG_GET, "", null, null);
            if (now.status() == 200) {
                current = parse(now.body());
                base = base == null
                        ? Long.valueOf(current.getJsonNumber("revision").longValue())
                        : base;
            } else if (now.status() == 404) {
                base = 0L;
            } else {
                return done(now);
            }
        }
        if (word.equals("diff")) {
            if (!(FleetConfig.json(body) instanceof Valid<JsonObject> mine)) {
                err.println("refused: not a whole JSON object");
                return REFUSED;
            }
            diff(current == null ? JsonValue.EMPTY_JSON_OBJECT : current, mine.value());
            return OK;
        }
        return done(fleet.call(word.equals("put") ? Operation.CONFIG_PUT : Operation.CONFIG_PATCH, "", base, body));
    }

    /** Named items that differ, one a line. */
    private void diff(JsonObject now, JsonObject mine) {
        out.println("revision " + now.get("revision") + " -> " + mine.get("revision"));
        for (String list : List.of("routes", "services")) {
            Map<String, JsonObject> a = named(now, list);
            Map<String, JsonObject> b = named(mine, list);
            Set<String> names = new TreeSet<>(a.keySet());
            names.addAll(b.keySet());
            for (String n : names) {
                if (!a.containsKey(n)) {
                    out.println("+ " + list + " " + n);
                } else if (!b.containsKey(n)) {
                    out.println("- " + list + " " + n);
                } else if (!a.get(n).equals(b.get(n))) {
                    out.println("~ " + list + " " + n);
                }
            }
        }
        if (!Objects.equals(now.get("limits"), mine.get("limits"))) {
            out.println("~ limits");
        }
    }

    private static Map<String, JsonObject> named(JsonObject o, String list) {
        Map<String, JsonObject> m = new TreeMap<>();
        if (o.get(list) instanceof JsonArray a) {
            a.getValuesAs(JsonObject.class).forEach(x -> m.put(x.getString("name", ""), x));
        }
        return m;
    }

    private int rollout(FleetStatus fleet, Rollout r) throws Exception {
        String word = r.words.isEmpty() ? "show" : r.words.get(0);
        if (word.equals("show") && r.words.size() <= 1) {
            return show(
                    r,
                    fleet.call(Operation.ROLLOUTS, "", null, null),
                    o -> table(
                            o.getJsonArray("rollouts"),
                            "service",
                            "state",
                            "target",
                            "from",
                            "turn",
                            "swapped",
                            "cause"));
        }
        if (r.words.size() != 2 || !List.of("start", "resume", "abort", "back").contains(word)) {
            throw badWords("rollout show | start SERVICE --target N | resume SERVICE | abort SERVICE | back SERVICE");
        }
        JsonObjectBuilder b = JSON.createObjectBuilder().add("order", word);
        if (word.equals("start")) {
            if (r.target == null) {
                throw badWords("rollout start SERVICE --target N");
            }
            b.add("target", r.target)
                    .add("atOnce", r.atOnce)
                    .add("floor", r.floor)
                    .add("patienceS", r.patienceS);
        }
        return done(fleet.call(
                Operation.ROLLOUT, r.words.get(1), null, b.build().toString().getBytes(UTF_8)));
    }

    private interface Shown {
        void show(JsonObject o);
    }

    private int show(Common c, Reply r, Shown human) {
        if (r.status() != 200) {
            return done(r);
        }
        if (c.json) {
            out.println(r.body());
        } else {
            human.show(parse(r.body()));
        }
        return OK;
    }

    private int done(Reply r) {
        if (r.status() == 200) {
            out.println("done");
            return OK;
        }
        if (r.status() == 0 || r.status() >= 500) {
            err.println("not reached: no control node gave a clear answer");
            return NOT_REACHED;
        }
        String text = "";
        if (FleetConfig.json(r.body().getBytes(UTF_8)) instanceof Valid<JsonObject> o) {
            text = o.value().getString("error", "") + " " + o.value().getString("text", "");
        }
        err.println("refused: " + r.status() + " " + text.trim());
        return REFUSED;
    }

    private static JsonObject parse(String s) {
        try (JsonReader r = JSON.createReader(new StringReader(s))) {
            return r.readObject();
        }
    }

    private void status(JsonObject o) {
        out.println("asked " + o.getString("node") + ", in touch with a majority: " + o.getBoolean("quorate"));
        out.println("proven " + o.get("provenAgoMs") + " ms ago, awaited: " + o.getString("awaited", "unknown"));
        if (o.get("view") instanceof JsonObject v) {
            out.println("view " + v.get("epoch") + ", chain " + v.get("chain") + ", voters " + v.get("voters"));
        }
        out.println("duties " + o.get("duties"));
        out.println("revision " + o.get("revision") + ", seq " + o.get("seq") + ", evacuated " + o.get("evacuated"));
        table(o.getJsonArray("sessions"), "name", "kind", "node", "zone", "linked", "ready");
        if (o.get("holders") instanceof JsonArray holders) {
            table(holders, "node", "epoch", "seq", "blank");
        }
        table(o.getJsonArray("nodes"), "name", "zone", "frontend", "ready", "leaving");
    }

    private void table(JsonArray rows, String... columns) {
        int[] width = new int[columns.length];
        List<String[]> cells = new ArrayList<>();
        cells.add(columns);
        if (rows != null) {
            for (JsonObject o : rows.getValuesAs(JsonObject.class)) {
                String[] row = new String[columns.length];
                for (int i = 0; i < row.length; i++) {
                    JsonValue v = o.get(columns[i]);
                    row[i] = v == null ? "" : v instanceof JsonString s ? s.getString() : v.toString();
                }
                cells.add(row);
            }
        }
        for (String[] row : cells) {
            for (int i = 0; i < row.length; i++) {
                width[i] = Math.max(width[i], row[i].length());
            }
        }
        for (String[] row : cells) {
            StringBuilder b = new StringBuilder();
            for (int i = 0; i < row.length; i++) {
                b.append(row[i]).append(" ".repeat(width[i] - row[i].length() + 2));
            }
            out.println(b.toString().stripTrailing());
        }
    }

    /** Calls any control node that gives a clear answer, in turn. */
    private static final class FleetStatus implements AutoCloseable {
        private final List<String> nodes;
        private final HttpClient http = new HttpClient(new HttpClientTransportOverHTTP(new PlainConnector()));

        FleetStatus(List<String> nodes) throws Exception {
            this.nodes = nodes;
            http.setConnectTimeout(1000);
            http.start();
        }

        Reply call(Operation o, String arg, Long base, byte[] body) throws InterruptedException {
            for (int i = 0; i < ROUNDS; i++) {
                String node = nodes.get(i % nodes.size());
                try {
                    Request r = http.newRequest("http://" + node + o.path(arg))
                            .method(o.method())
                            .timeout(4, TimeUnit.SECONDS);
                    if (base != null) {
                        r.headers(h -> h.put("If-Match", Long.toString(base)));
                    }
                    if (body != null) {
                        r.body(new BytesRequestContent("application/json", body));
                    }
                    ContentResponse c = r.send();
                    if (c.getStatus() < 500 && c.getStatus() != 408 && c.getStatus() != 429) {
                        return new Reply(c.getStatus(), c.getContentAsString());
                    }
                } catch (TimeoutException | ExecutionException x) {
                    // the next one
                }
                Thread.sleep(100L << Math.min(3, i / nodes.size()));
            }
            return new Reply(0, "");
        }

        /** Asks one node, once. */
        Reply once(String node, Operation o) throws InterruptedException {
            try {
                ContentResponse c = http.newRequest("http://" + node + o.path(""))
                        .method(o.method())
                        .timeout(3, TimeUnit.SECONDS)
                        .send();
                return new Reply(c.getStatus(), c.getContentAsString());
            } catch (TimeoutException | ExecutionException x) {
                return new Reply(0, "");
            }
        }

        @Override
        public void close() {
            LifeCycles.stopQuietly(http);
        }
    }
}
