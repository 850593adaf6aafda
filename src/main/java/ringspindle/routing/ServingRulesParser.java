package ringspindle.routing;

import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;

/**
 * Parses a serving rules document strictly and collects each error with its path. Names of routes, models and regions
 * are checked by {@link ServingRulesValidator}.
 */
final class ServingRulesParser {
    private static final int MAX_WAIT_MS = 30_000;
    private static final int MAX_RULES = 200;
    private static final int MAX_NAME_LENGTH = 60;
    private static final int MAX_RANK = 9;
    private static final int MAX_AFFINITY_PARTS = 64;
    private static final int MAX_AFFINITY_TOKENS = 100_000_000;
    private static final double MAX_IMBALANCE = 100;
    private static final double DEFAULT_MAX_IMBALANCE = 1.5;
    /** Allows for rounding errors when decimal shares are summed. */
    private static final double SHARE_TOLERANCE = 1e-9;

    private final List<ConfigError> errors = new ArrayList<>();

    private ServingRulesParser() {}

    /** Parses a document; errors are listed in the order in which they are found. */
    static Validated<ServingRules> parse(byte[] body) {
        if (body.length > ServingRules.MAX_BYTES) {
            return Validated.refused(new ConfigError.TooLong(body.length, ServingRules.MAX_BYTES));
        }
        Validated<JsonObject> json = FleetConfig.json(body);
        if (json instanceof Invalid<JsonObject> invalid) {
            return new Invalid<>(invalid.errors());
        }
        ServingRulesParser parser = new ServingRulesParser();
        ServingRules rules = parser.parseDocument(((Valid<JsonObject>) json).value());
        return parser.errors.isEmpty() ? new Valid<>(rules) : new Invalid<>(List.copyOf(parser.errors));
    }

    private ServingRules parseDocument(JsonObject source) {
        JsonFields document = new JsonFields(source, "", errors);
        document.rejectUnknown("revision", "rules", "default");
        long revision = document.integer("revision", 1, Long.MAX_VALUE >> 1, -1L);
        if (!document.has("revision")) {
            errors.add(new ConfigError.Missing("revision"));
        }
        List<ServingRule> rules = parseRules(document);
        rejectUnreachable(rules);
        JsonFields defaultFields = document.object("default");
        defaultFields.rejectUnknown("class", "affinity", "busy", "gone");
        ServingRule defaultRule = parseRule(defaultFields, ServingRules.DEFAULT_CLASS, RequestMatcher.ALL);
        ServingRules result = new ServingRules(source, revision, List.copyOf(rules), defaultRule);
        if (result.totalShare() > 1 + SHARE_TOLERANCE) {
            String total = String.format(Locale.ROOT, "%.3f", result.totalShare());
            errors.add(new ConfigError.OutOfRange("shares of all classes", total, "at most 1 together"));
        }
        return result;
    }

    private List<ServingRule> parseRules(JsonFields document) {
        List<JsonValue> list = document.array("rules");
        if (list.size() > MAX_RULES) {
            errors.add(new ConfigError.OutOfRange("rules", list.size() + " rules", "at most " + MAX_RULES));
        }
        List<ServingRule> rules = new ArrayList<>();
        Set<String> names = new HashSet<>(Set.of(ServingRules.DEFAULT_CLASS));
        for (int i = 0; i < list.size(); i++) {
            String path = "rules[" + i + "]";
            if (!(list.get(i) instanceof JsonObject object)) {
                errors.add(new ConfigError.OutOfRange(path, list.get(i).toString(), "an object"));
                continue;
            }
            JsonFields fields = new JsonFields(object, path, errors);
            fields.rejectUnknown("name", "match", "class", "affinity", "busy", "gone");
            String name = parseName(fields, names);
            RequestMatcher matcher = parseMatcher(fields);
            rules.add(parseRule(fields, name, matcher));
        }
        return rules;
    }

    private String parseName(JsonFields rule, Set<String> names) {
        String name = rule.text("name");
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            rule.outOfRange("name", name, "1 to " + MAX_NAME_LENGTH + " letters");
        } else if (!names.add(name)) {
            errors.add(new ConfigError.SameName(name));
        }
        return name;
    }

    private void rejectUnreachable(List<ServingRule> rules) {
        for (int later = 0; later < rules.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                ServingRule before = rules.get(earlier);
                if (before.match().covers(rules.get(later).match())) {
                    errors.add(new ConfigError.Unreachable("rules[" + later + "]", before.name()));
                    break;
                }
            }
        }
    }

    private RequestMatcher parseMatcher(JsonFields rule) {
        JsonFields match = rule.object("match");
        match.rejectUnknown("route", "host", "path", "model", "prompt", "home");
        JsonFields prompt = match.object("prompt");
        prompt.rejectUnknown("from", "to");
        int minTokens = prompt.integer("from", 0, Integer.MAX_VALUE, 0);
        int maxTokens = prompt.integer("to", 0, Integer.MAX_VALUE, Integer.MAX_VALUE);
        if (maxTokens < minTokens) {
            prompt.outOfRange("to", Integer.toString(maxTokens), "no less than from");
        }
        Boolean homeBound = parseHomeBound(match);
        return new RequestMatcher(
                match.text("route"),
                match.text("host"),
                match.text("path"),
                match.text("model"),
                minTokens,
                maxTokens,
                homeBound);
    }

    /** Returns null if the rule applies whether or not a request is restricted to home regions. */
    private static Boolean parseHomeBound(JsonFields match) {
        JsonValue value = match.value("home");
        if (value == null) {
            return null;
        }
        if (value != JsonValue.TRUE && value != JsonValue.FALSE) {
            match.outOfRange("home", value.toString(), "true or false");
        }
        return value == JsonValue.TRUE;
    }

    private ServingRule parseRule(JsonFields rule, String name, RequestMatcher matcher) {
        JsonFields requestClass = rule.object("class");
        requestClass.rejectUnknown("rank", "share", "waitMs");
        int rank = requestClass.integer("rank", 0, MAX_RANK, ServingRule.UNSET_RANK);
        double share = requestClass.decimal("share", 0, 1, 0);
        int waitMs = requestClass.integer("waitMs", 0, MAX_WAIT_MS, ServingRule.UNSET_WAIT_MS);
        Affinity affinity = rule.has("affinity") ? parseAffinity(rule) : null;
        List<FallbackTarget> whenBusy = parseFallbackTargets(rule, "busy", waitMs);
        List<FallbackTarget> whenUnavailable = parseFallbackTargets(rule, "gone", waitMs);
        return new ServingRule(name, matcher, rank, share, waitMs, affinity, whenBusy, whenUnavailable);
    }

    private static Affinity parseAffinity(JsonFields rule) {
        JsonFields affinity = rule.object("affinity");
        affinity.rejectUnknown("by", "parts", "tokens", "uneven");
        return new Affinity(
                parseBasis(affinity),
                affinity.integer("parts", 1, MAX_AFFINITY_PARTS, MAX_AFFINITY_PARTS),
                affinity.integer("tokens", 1, MAX_AFFINITY_TOKENS, Integer.MAX_VALUE),
                affinity.decimal("uneven", 1, MAX_IMBALANCE, DEFAULT_MAX_IMBALANCE));
    }

    private static Affinity.Basis parseBasis(JsonFields affinity) {
        String value = affinity.text("by");
        return switch (value) {
            case "prompt" -> Affinity.Basis.PROMPT;
            case "session" -> Affinity.Basis.SESSION;
            case "none" -> Affinity.Basis.NONE;
            default -> {
                affinity.outOfRange("by", value, "prompt, session or none");
                yield Affinity.Basis.NONE;
            }
        };
    }

    /** Parses fallback targets; the sum of their waits must not exceed the class's wait. */
    private List<FallbackTarget> parseFallbackTargets(JsonFields rule, String key, int classWaitMs) {
        List<JsonValue> list = rule.array(key);
        List<FallbackTarget> targets = new ArrayList<>();
        long totalWaitMs = 0;
        for (int i = 0; i < list.size(); i++) {
            String path = rule.path() + "." + key + "[" + i + "]";
            if (!(list.get(i) instanceof JsonObject object)) {
                errors.add(new ConfigError.OutOfRange(path, list.get(i).toString(), "an object"));
                continue;
            }
            JsonFields fields = new JsonFields(object, path, errors);
            FallbackTarget target = parseFallbackTarget(fields);
            totalWaitMs += target.waitMs();
            if (totalWaitMs > 0 && totalWaitMs > classWaitMs) {
                fields.outOfRange(
                        "waitMs",
                        totalWaitMs + " with those before",
                        "at most the class's waitMs, " + Math.max(0, classWaitMs));
            }
            targets.add(target);
        }
        return List.copyOf(targets);
    }

    private static FallbackTarget parseFallbackTarget(JsonFields fields) {
        fields.rejectUnknown("to", "names", "waitMs");
        FallbackTarget.Scope scope = parseScope(fields);
        List<String> regions = parseRegions(fields);
        if ((scope == FallbackTarget.Scope.REGIONS) == regions.isEmpty()) {
            fields.outOfRange("names", regions.toString(), "names where to is regions, none elsewhere");
        }
        return new FallbackTarget(scope, regions, fields.integer("waitMs", 0, MAX_WAIT_MS, 0));
    }

    private static FallbackTarget.Scope parseScope(JsonFields fields) {
        String value = fields.text("to");
        return switch (value) {
            case "next" -> FallbackTarget.Scope.NEXT;
            case "zone" -> FallbackTarget.Scope.ZONE;
            case "region" -> FallbackTarget.Scope.REGION;
            case "regions" -> FallbackTarget.Scope.REGIONS;
            case "any" -> FallbackTarget.Scope.ANY;
            default -> {
                fields.outOfRange("to", value, "next, zone, region, regions or any");
                yield FallbackTarget.Scope.ANY;
            }
        };
    }

    private static List<String> parseRegions(JsonFields fields) {
        List<String> regions = new ArrayList<>();
        for (JsonValue value : fields.array("names")) {
            if (value instanceof JsonString name && !name.getString().isEmpty()) {
                regions.add(name.getString());
            } else {
                fields.outOfRange("names", value.toString(), "names of regions");
            }
        }
        return List.copyOf(regions);
    }
}
