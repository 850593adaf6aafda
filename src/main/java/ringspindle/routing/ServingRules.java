package ringspindle.routing;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import jakarta.json.JsonArray;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;

/** The operators' serving rules: an ordered list, the first that fits wins, a default closes it. */
public final class ServingRules {
    /** A document may be so long. */
    public static final int BYTES_MAX = 64 << 10;

    private static final int WAIT_MAX_MS = 30_000;
    private static final int RULES_MAX = 200;
    /** The class of requests that no rule is for. */
    public static final String PLAIN = "plain";

    private final JsonObject source;
    private final long revision;
    private final List<ServingRule> rules;
    private final ServingRule otherwise;
    private final double shares;

    private ServingRules(JsonObject source, long revision, List<ServingRule> rules, ServingRule otherwise) {
        this.source = source;
        this.revision = revision;
        this.rules = rules;
        this.otherwise = otherwise;
        shares = rules.stream().mapToDouble(ServingRule::share).sum() + otherwise.share();
    }

    /** Reads and checks the document by itself; {@code ServingRules.read(bytes)}. */
    public static Validated<ServingRules> read(byte[] body) {
        if (body.length > BYTES_MAX) {
            return Validated.refused(new ConfigError.TooLong(body.length, BYTES_MAX));
        }
        Validated<JsonObject> j = FleetConfig.json(body);
        if (j instanceof Invalid<JsonObject> bad) {
            return new Invalid<>(bad.problems());
        }
        Reader r = new Reader();
        ServingRules out = r.document(((Valid<JsonObject>) j).value());
        return r.problems.isEmpty() ? new Valid<>(out) : new Invalid<>(List.copyOf(r.problems));
    }

    /**
     * What does not fit the configuration or the zones; {@code rules.problems(config, Set.of("ahd", "srt"))}. Without a
     * configuration routes and models are not looked at, without regions these are not.
     */
    public List<ConfigError> problems(FleetConfig config, Set<String> regions) {
        List<ConfigError> out = new ArrayList<>();
        List<ServingRule> all = new ArrayList<>(rules);
        all.add(otherwise);
        for (int i = 0; i < all.size(); i++) {
            ServingRule rule = all.get(i);
            String at = i < rules.size() ? "rules[" + i + "]" : "default";
            FleetConfig.Route route = null;
            if (config != null) {
                route = config.mappings().stream()
                        .filter(m -> m.name().equals(rule.match().route()))
                        .findFirst()
                        .orElse(null);
                if (route == null && !rule.match().route().isEmpty()) {
                    out.add(new ConfigError.UnknownName(
                            at + ".match.route", rule.match().route()));
                }
                if (!rule.match().model().isEmpty()
                        && !models(config).contains(rule.match().model())) {
                    out.add(new ConfigError.UnknownName(
                            at + ".match.model", rule.match().model()));
                }
            }
            check(out, at + ".busy", rule.busy(), route, regions);
            check(out, at + ".gone", rule.gone(), route, regions);
        }
        return out;
    }

    private static void check(
            List<ConfigError> out,
            String at,
            List<FallbackTarget> steps,
            FleetConfig.Route route,
            Set<String> regions) {
        for (int i = 0; i < steps.size(); i++) {
            for (String region : steps.get(i).regions()) {
                if (!regions.isEmpty() && !regions.contains(region)) {
                    out.add(new ConfigError.UnknownName(at + "[" + i + "].names", region));
                } else if (route != null
                        && !route.homes().isEmpty()
                        && !route.homes().contains(region)) {
                    out.add(new ConfigError.OutsideHomes(at + "[" + i + "].names", region));
                }
            }
        }
    }

    private static Set<String> models(FleetConfig config) {
        Set<String> out = new TreeSet<>();
        JsonArray services = config.source().getJsonArray("services");
        if (services != null) {
            for (JsonObject s : services.getValuesAs(JsonObject.class)) {
                if (s.get("engine") instanceof JsonObject e && e.get("models") instanceof JsonArray a) {
                    a.getValuesAs(JsonObject.class).forEach(m -> out.add(m.getString("name", "")));
                }
            }
        }
        return out;
    }

    /** Rules whose route the configuration does not have, by name; they stay valid and are idle. */
    public List<String> idle(FleetConfig config) {
        Set<String> routes = new HashSet<>();
        config.mappings().forEach(m -> routes.add(m.name()));
        return rules.stream()
                .filter(r -> !r.match().route().isEmpty()
                        && !routes.contains(r.match().route()))
                .map(ServingRule::name)
                .toList();
    }

    /** The rule for a request; {@code rules.of(asked).name()}. */
    public ServingRule of(RequestAttributes a) {
        for (ServingRule r : rules) {
            if (r.match().fits(a)) {
                return r;
            }
        }
        return otherwise;
    }

    /** The share of places that a class must leave to the others. */
    public double kept(ServingRule r) {
        return Math.max(0, shares - r.share());
    }

    /** All rules, the default last. */
    public List<ServingRule> all() {
        List<ServingRule> out = new ArrayList<>(rules);
        out.add(otherwise);
        return out;
    }

    /** Its version; {@code rules.revision()} of the example in the docs is 3. */
    public long revision() {
        return revision;
    }

    /** The document as sent. */
    public JsonObject source() {
        return source;
    }

    /** The document's bytes as they are kept and passed on. */
    public byte[] bytes() {
        return source.toString().getBytes(UTF_8);
    }

    /** The same for the same document on every node; {@code Long.toHexString(rules.digest())}. */
    public long digest() {
        return Hashing.sha256().hashBytes(bytes()).asLong();
    }

    /** Reads strictly and notes every problem with its place. */
    private static final class Reader {
        final List<ConfigError> problems = new ArrayList<>();

        ServingRules document(JsonObject o) {
            fields(o, "", "revision", "rules", "default");
            long revision = number(o, "", "revision", 1, Long.MAX_VALUE >> 1, -1);
            if (!o.containsKey("revision")) {
                problems.add(new ConfigError.Missing("revision"));
            }
            List<ServingRule> rules = new ArrayList<>();
            Set<String> names = new HashSet<>(List.of(PLAIN));
            List<JsonValue> list = array(o, "", "rules");
            if (list.size() > RULES_MAX) {
                problems.add(new ConfigError.OutOfRange("rules", list.size() + " rules", "at most " + RULES_MAX));
            }
            for (int i = 0; i < list.size(); i++) {
                String at = "rules[" + i + "]";
                if (!(list.get(i) instanceof JsonObject r)) {
                    problems.add(new ConfigError.OutOfRange(at, list.get(i).toString(), "an object"));
                    continue;
                }
                fields(r, at, "name", "match", "class", "affinity", "busy", "gone");
                String name = text(r, at, "name");
                if (name.isEmpty() || name.length() > 60) {
                    problems.add(new ConfigError.OutOfRange(at + ".name", name, "1 to 60 letters"));
                } else if (!names.add(name)) {
                    problems.add(new ConfigError.SameName(name));
                }
                rules.add(rule(r, at, name, match(r, at)));
            }
            for (int j = 0; j < rules.size(); j++) {
                for (int i = 0; i < j; i++) {
                    if (rules.get(i).match().covers(rules.get(j).match())) {
                        problems.add(new ConfigError.Unreachable(
                                "rules[" + j + "]", rules.get(i).name()));
                        break;
                    }
                }
            }
            JsonObject d = object(o, "", "default");
            fields(d, "default", "class", "affinity", "busy", "gone");
            ServingRule otherwise = rule(d, "default", PLAIN, RequestMatcher.ALL);
            ServingRules out = new ServingRules(o, revision, List.copyOf(rules), otherwise);
            if (out.shares > 1 + 1e-9) {
                problems.add(new ConfigError.OutOfRange(
                        "shares of all classes", String.format(Locale.ROOT, "%.3f", out.shares), "at most 1 together"));
            }
            return out;
        }

        private RequestMatcher match(JsonObject r, String at) {
            JsonObject m = object(r, at, "match");
            String here = at + ".match";
            fields(m, here, "route", "host", "path", "model", "prompt", "home");
            JsonObject p = object(m, here, "prompt");
            fields(p, here + ".prompt", "from", "to");
            int from = (int) number(p, here + ".prompt", "from", 0, Integer.MAX_VALUE, 0);
            int to = (int) number(p, here + ".prompt", "to", 0, Integer.MAX_VALUE, Integer.MAX_VALUE);
            if (to < from) {
                problems.add(
                        new ConfigError.OutOfRange(here + ".prompt.to", Integer.toString(to), "no less than from"));
            }
            Boolean home = null;
            JsonValue h = m.get("home");
            if (h != null) {
                if (h != JsonValue.TRUE && h != JsonValue.FALSE) {
                    problems.add(new ConfigError.OutOfRange(here + ".home", h.toString(), "true or false"));
                }
                home = h == JsonValue.TRUE;
            }
            return new RequestMatcher(
                    text(m, here, "route"),
                    text(m, here, "host"),
                    text(m, here, "path"),
                    text(m, here, "model"),
                    from,
                    to,
                    home);
        }

        private ServingRule rule(JsonObject r, String at, String name, RequestMatcher match) {
            JsonObject c = object(r, at, "class");
            fields(c, at + ".class", "rank", "share", "waitMs");
            int rank = (int) number(c, at + ".class", "rank", 0, 9, -1);
            double share = fraction(c, at + ".class", "share", 0, 1, 0);
            int waitMs = (int) number(c, at + ".class", "waitMs", 0, WAIT_MAX_MS, -1);
            Affinity affinity = null;
            if (r.containsKey("affinity")) {
                JsonObject a = object(r, at, "affinity");
                String here = at + ".affinity";
                fields(a, here, "by", "parts", "tokens", "uneven");
                Affinity.By by = Affinity.By.NONE;
                String wanted = text(a, here, "by");
                switch (wanted) {
                    case "prompt" -> by = Affinity.By.PROMPT;
                    case "session" -> by = Affinity.By.SESSION;
                    case "none" -> by = Affinity.By.NONE;
                    default ->
                        problems.add(new ConfigError.OutOfRange(here + ".by", wanted, "prompt, session or none"));
                }
                affinity = new Affinity(
                        by,
                        (int) number(a, here, "parts", 1, 64, 64),
                        (int) number(a, here, "tokens", 1, 100_000_000, Integer.MAX_VALUE),
                        fraction(a, here, "uneven", 1, 100, 1.5));
            }
            List<FallbackTarget> busy = steps(r, at, "busy", waitMs);
            List<FallbackTarget> gone = steps(r, at, "gone", waitMs);
            return new ServingRule(name, match, rank, share, waitMs, affinity, busy, gone);
        }

        private List<FallbackTarget> steps(JsonObject r, String at, String key, int mostMs) {
            List<FallbackTarget> out = new ArrayList<>();
            List<JsonValue> list = array(r, at, key);
            long sumMs = 0;
            for (int i = 0; i < list.size(); i++) {
                String here = at + "." + key + "[" + i + "]";
                if (!(list.get(i) instanceof JsonObject s)) {
                    problems.add(new ConfigError.OutOfRange(here, list.get(i).toString(), "an object"));
                    continue;
                }
                fields(s, here, "to", "names", "waitMs");
                String wanted = text(s, here, "to");
                FallbackTarget.To to = FallbackTarget.To.ANY;
                switch (wanted) {
                    case "next" -> to = FallbackTarget.To.NEXT;
                    case "zone" -> to = FallbackTarget.To.ZONE;
                    case "region" -> to = FallbackTarget.To.REGION;
                    case "regions" -> to = FallbackTarget.To.REGIONS;
                    case "any" -> to = FallbackTarget.To.ANY;
                    default ->
                        problems.add(
                                new ConfigError.OutOfRange(here + ".to", wanted, "next, zone, region, regions or any"));
                }
                List<String> names = new ArrayList<>();
                for (JsonValue v : array(s, here, "names")) {
                    if (v instanceof JsonString n && !n.getString().isEmpty()) {
                        names.add(n.getString());
                    } else {
                        problems.add(new ConfigError.OutOfRange(here + ".names", v.toString(), "names of regions"));
                    }
                }
                if ((to == FallbackTarget.To.REGIONS) == names.isEmpty()) {
                    problems.add(new ConfigError.OutOfRange(
                            here + ".names", names.toString(), "names where to is regions, none elsewhere"));
                }
                int waitMs = (int) number(s, here, "waitMs", 0, WAIT_MAX_MS, 0);
                sumMs += waitMs;
                if (sumMs > 0 && sumMs > mostMs) {
                    problems.add(new ConfigError.OutOfRange(
                            here + ".waitMs",
                            Long.toString(sumMs) + " with those before",
                            "at most the class's waitMs, " + Math.max(0, mostMs)));
                }
                out.add(new FallbackTarget(to, List.copyOf(names), waitMs));
            }
            return List.copyOf(out);
        }

        private void fields(JsonObject o, String at, String... known) {
            for (String k : o.keySet()) {
                if (!List.of(known).contains(k)) {
                    problems.add(new ConfigError.UnknownField(at, k));
                }
            }
        }

        private JsonObject object(JsonObject o, String at, String key) {
            JsonValue v = o.get(key);
            if (v == null) {
                return JsonValue.EMPTY_JSON_OBJECT;
            }
            if (v instanceof JsonObject x) {
                return x;
            }
            problems.add(new ConfigError.OutOfRange(at + "." + key, v.toString(), "an object"));
            return JsonValue.EMPTY_JSON_OBJECT;
        }

        private List<JsonValue> array(JsonObject o, String at, String key) {
            JsonValue v = o.get(key);
            if (v == null) {
                return List.of();
            }
            if (v instanceof JsonArray x) {
                return x;
            }
            problems.add(new ConfigError.OutOfRange(at + "." + key, v.toString(), "a list"));
            return List.of();
        }

        private String text(JsonObject o, String at, String key) {
            JsonValue v = o.get(key);
            if (v == null) {
                return "";
            }
            if (v instanceof JsonString s) {
                return s.getString();
            }
            problems.add(new ConfigError.OutOfRange(at + "." + key, v.toString(), "a text"));
            return "";
        }

        private long number(JsonObject o, String at, String key, long least, long most, long otherwise) {
            JsonValue v = o.get(key);
            if (v == null) {
                return otherwise;
            }
            if (v instanceof JsonNumber n
                    && n.isIntegral()
                    && n.bigDecimalValue().abs().compareTo(new java.math.BigDecimal(Long.MAX_VALUE)) < 0
                    && n.longValue() >= least
                    && n.longValue() <= most) {
                return n.longValue();
            }
            problems.add(new ConfigError.OutOfRange(
                    at + "." + key, v.toString(), "a whole number from " + least + " to " + most));
            return otherwise;
        }

        private double fraction(JsonObject o, String at, String key, double least, double most, double otherwise) {
            JsonValue v = o.get(key);
            if (v == null) {
                return otherwise;
            }
            if (v instanceof JsonNumber n && n.doubleValue() >= least && n.doubleValue() <= most) {
                return n.doubleValue();
            }
            problems.add(
                    new ConfigError.OutOfRange(at + "." + key, v.toString(), "a number from " + least + " to " + most));
            return otherwise;
        }
    }
}
