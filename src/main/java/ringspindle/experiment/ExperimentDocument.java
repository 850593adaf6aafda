package ringspindle.experiment;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import jakarta.json.spi.JsonProvider;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;
import ringspindle.experiment.Experiment.Plan;
import ringspindle.routing.CostWeights;
import ringspindle.routing.JsonFields;
import ringspindle.routing.ServingRules;
import ringspindle.routing.ServingRulesValidator;

/**
 * Reads an operator's document strictly, and checks its names. The same code serves offline and at the head of the chain.
 *
 * <pre>{@code
 * {"name": "near", "routes": ["scrip"], "salt": "2026-12", "ramp": 0.2,
 *  "sides": [{"name": "as-is", "share": 0.5},
 *            {"name": "near", "share": 0.5, "policy": {"cost": {"otherRegionMs": 60}}}]}
 * }</pre>
 */
public final class ExperimentDocument {
    /** Most bytes of a document. */
    public static final int MAX_BYTES = 64 << 10;

    private static final JsonProvider JSON = JsonProvider.provider();
    private static final int MAX_SIDES = 6;
    private static final int MAX_ROUTES = 16;
    private static final int MAX_TEXT = 60;
    private static final double SHARE_TOLERANCE = 1e-6;
    private static final double LEAST_SHARE = 0.01;
    private static final double LEAST_RAMP = 0.001;
    private static final double LEAST_ERROR_RATE = 1e-6;
    private static final double MOST_ERROR_RATE = 0.2;
    private static final double DEFAULT_ERROR_RATE = 0.05;
    private static final double DEFAULT_MARGIN = 0.02;
    private static final double DEFAULT_HARM = 0.5;
    private static final int DEFAULT_SHORTEST_S = 5;
    private static final int DEFAULT_LONGEST_S = 3600;
    private static final int MOST_S = 30 * 24 * 3600;
    private static final double MOST_COST_MS = 10_000;
    private static final double MOST_IMBALANCE = 100;

    /**
     * A document that was read.
     *
     * @param ramp the part of its range that each side holds from the start
     */
    public record Started(Plan plan, double ramp) {}

    private final List<ConfigError> errors = new ArrayList<>();

    private ExperimentDocument() {}

    /** Reads a document and checks it by itself. */
    public static Validated<Started> read(byte[] body) {
        if (body.length > MAX_BYTES) {
            return Validated.refused(new ConfigError.TooLong(body.length, MAX_BYTES));
        }
        Validated<JsonObject> json = FleetConfig.json(body);
        if (json instanceof Invalid<JsonObject> invalid) {
            return new Invalid<>(invalid.errors());
        }
        ExperimentDocument document = new ExperimentDocument();
        Started started = document.started(((Valid<JsonObject>) json).value());
        return document.errors.isEmpty() ? new Valid<>(started) : new Invalid<>(List.copyOf(document.errors));
    }

    /** Reads a plan that was checked before it was stored. */
    static Plan stored(JsonObject plan) {
        return new ExperimentDocument().started(plan).plan();
    }

    /** Names of routes that the configuration does not have, and what of the policies' rules does not fit it. */
    public static List<ConfigError> check(Plan plan, FleetConfig configuration, Set<String> regions) {
        List<ConfigError> errors = new ArrayList<>();
        Set<String> known = new HashSet<>();
        configuration.routes().forEach(route -> known.add(route.name()));
        for (int i = 0; i < plan.routes().size(); i++) {
            if (!known.contains(plan.routes().get(i))) {
                errors.add(new ConfigError.UnknownName(
                        "routes[" + i + "]", plan.routes().get(i)));
            }
        }
        for (Side side : plan.sides()) {
            side.policy()
                    .rules()
                    .ifPresent(rules -> errors.addAll(ServingRulesValidator.validate(rules, configuration, regions)));
        }
        return errors;
    }

    private Started started(JsonObject source) {
        JsonFields fields = new JsonFields(source, "", errors);
        fields.rejectUnknown(
                "name", "routes", "salt", "sides", "ramp", "errorRate", "margin", "harm", "shortestS", "longestS");
        Plan plan = new Plan(
                text(fields, "name"),
                routes(fields),
                text(fields, "salt"),
                sides(fields),
                fields.decimal("errorRate", LEAST_ERROR_RATE, MOST_ERROR_RATE, DEFAULT_ERROR_RATE),
                fields.decimal("margin", 0, 1, DEFAULT_MARGIN),
                fields.decimal("harm", 0, 1, DEFAULT_HARM),
                fields.integer("shortestS", 0, MOST_S, DEFAULT_SHORTEST_S),
                fields.integer("longestS", 1, MOST_S, DEFAULT_LONGEST_S));
        if (plan.shortestS() > plan.longestS()) {
            errors.add(new ConfigError.OutOfRange("shortestS", "" + plan.shortestS(), "at most longestS"));
        }
        return new Started(plan, fields.decimal("ramp", LEAST_RAMP, 1, 1));
    }

    private String text(JsonFields fields, String key) {
        String text = fields.text(key);
        if (text.isEmpty() || text.length() > MAX_TEXT) {
            errors.add(new ConfigError.OutOfRange(key, text, "a text of 1 to " + MAX_TEXT + " letters"));
        }
        return text;
    }

    private List<String> routes(JsonFields fields) {
        List<String> routes = new ArrayList<>();
        for (JsonValue value : fields.array("routes")) {
            if (value instanceof JsonString text && !routes.contains(text.getString())) {
                routes.add(text.getString());
            } else {
                errors.add(new ConfigError.OutOfRange("routes", value.toString(), "names, each once"));
            }
        }
        if (routes.isEmpty() || routes.size() > MAX_ROUTES) {
            errors.add(new ConfigError.OutOfRange("routes", routes.size() + " routes", "1 to " + MAX_ROUTES));
        }
        return List.copyOf(routes);
    }

    private List<Side> sides(JsonFields fields) {
        List<Side> sides = new ArrayList<>();
        Set<String> names = new HashSet<>();
        double total = 0;
        for (JsonValue value : fields.array("sides")) {
            String path = "sides[" + sides.size() + "]";
            if (!(value instanceof JsonObject object)) {
                errors.add(new ConfigError.OutOfRange(path, value.toString(), "an object"));
                continue;
            }
            Side side = side(new JsonFields(object, path, errors));
            total += side.share();
            if (!names.add(side.name())) {
                errors.add(new ConfigError.OutOfRange(path + ".name", side.name(), "a name that no other side has"));
            }
            sides.add(side);
        }
        if (sides.size() < 2 || sides.size() > MAX_SIDES) {
            errors.add(new ConfigError.OutOfRange("sides", sides.size() + " sides", "2 to " + MAX_SIDES));
        } else if (Math.abs(total - 1) > SHARE_TOLERANCE) {
            errors.add(new ConfigError.OutOfRange("shares of all sides", "" + total, "1 together"));
        }
        return List.copyOf(sides);
    }

    private Side side(JsonFields fields) {
        fields.rejectUnknown("name", "share", "policy");
        return new Side(
                text(fields, "name"),
                fields.decimal("share", LEAST_SHARE, 1 - LEAST_SHARE, 0),
                policy(fields.object("policy")));
    }

    private Policy policy(JsonFields fields) {
        fields.rejectUnknown("cost", "rules");
        JsonFields cost = fields.object("cost");
        cost.rejectUnknown("otherRegionMs", "runningRequestMs", "uneven");
        CostWeights weights = new CostWeights(
                cost.decimal("otherRegionMs", 0, MOST_COST_MS, CostWeights.DEFAULT.otherRegionMs()),
                cost.decimal("runningRequestMs", 0, MOST_COST_MS, CostWeights.DEFAULT.runningRequestMs()),
                cost.decimal("uneven", 1, MOST_IMBALANCE, CostWeights.DEFAULT.maxImbalance()));
        return new Policy(fields.source(), weights, rules(fields));
    }

    private Optional<ServingRules> rules(JsonFields fields) {
        if (!fields.has("rules")) {
            return Optional.empty();
        }
        // a document of serving rules has a revision of its own, which means nothing here
        JsonObject document = JSON.createObjectBuilder(fields.object("rules").source())
                .add("revision", 1)
                .build();
        Validated<ServingRules> rules = ServingRules.read(document.toString().getBytes(UTF_8));
        if (rules instanceof Invalid<ServingRules> invalid) {
            errors.addAll(invalid.errors());
            return Optional.empty();
        }
        return Optional.of(((Valid<ServingRules>) rules).value());
    }
}
