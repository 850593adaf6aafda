package ringspindle.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.Json;
import jakarta.json.JsonArray;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonConfig;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonReader;
import jakarta.json.JsonReaderFactory;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;

/** A configuration of the operator, read and checked. */
public final class FleetConfig {
    private static final JsonReaderFactory READERS =
            Json.createReaderFactory(Map.of(JsonConfig.KEY_STRATEGY, JsonConfig.KeyStrategy.NONE));

    /** A share of a mapping's requests. */
    public record Target(String service, double weight) {}

    /** Where requests of a host and prefix go. */
    public record Route(
            String name,
            String host,
            String pathPrefix,
            Kind kind,
            int deadlineMs,
            int aimMs,
            int priority,
            List<Target> targets,
            int maxAttempts,
            boolean resumable,
            boolean sticky,
            int tokenGapMs,
            Set<String> homes) {
        /** True where a request may run more than once; {@code mapping.repeatable()}. */
        public boolean repeatable() {
            return kind == Kind.IDEMPOTENT || resumable;
        }
    }

    /** What may be repeated. */
    public enum Kind {
        IDEMPOTENT,
        MUTATING,
        STREAMING
    }

    /** Engines of one sort. */
    public record Service(
            String name,
            String healthPath,
            int maxConnections,
            double warmupS,
            double warmupPerS,
            long cacheTokens,
            int capacity) {}

    /** What a consumer may send and how long it may take. */
    public record Limits(int headerBytes, int bodyBytes, int headerMs, int idleMs) {}

    private final JsonObject source;
    private final long revision;
    private final Map<String, List<Route>> byHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Limits limits;

    private FleetConfig(JsonObject source, long revision, List<Route> mappings, List<Service> services, Limits limits) {
        this.source = source;
        this.revision = revision;
        this.limits = limits;
        for (Route m : mappings) {
            byHost.computeIfAbsent(m.host().toLowerCase(Locale.ROOT), k -> new ArrayList<>())
                    .add(m);
        }
        byHost.values()
                .forEach(l -> l.sort(
                        Comparator.comparingInt((Route m) -> -m.pathPrefix().length())));
        services.forEach(s -> this.services.put(s.name(), s));
    }

    /** Reads JSON strictly, duplicate keys refused; {@code FleetConfig.json("{}".getBytes())}. */
    public static Validated<JsonObject> json(byte[] body) {
        try (JsonReader r = READERS.createReader(new InputStreamReader(new ByteArrayInputStream(body), UTF_8))) {
            return new Valid<>(r.readObject());
        } catch (RuntimeException x) {
            return Validated.refused(new ConfigError.Unreadable(
                    "not a whole JSON object: " + x.getClass().getSimpleName()));
        }
    }

    /** Reads and checks a whole configuration; {@code FleetConfig.read(bytes)}. */
    public static Validated<FleetConfig> read(byte[] body) {
        Validated<JsonObject> j = json(body);
        if (j instanceof Invalid<JsonObject> bad) {
            return new Invalid<>(bad.problems());
        }
        return check(((Valid<JsonObject>) j).value());
    }

    /** Checks a whole configuration; {@code FleetConfig.check(object)}. */
    public static Validated<FleetConfig> check(JsonObject o) {
        try {
            return checked(o);
        } catch (ClassCastException | NullPointerException | ArithmeticException x) {
            return Validated.refused(new ConfigError.Unreadable("a field is missing or of the wrong type"));
        }
    }

    private static Validated<FleetConfig> checked(JsonObject o) {
        List<ConfigError> problems = new ArrayList<>();
        if (!(o.get("revision") instanceof JsonNumber rev) || !rev.isIntegral()) {
            return Validated.refused(new ConfigError.Missing("revision"));
        }
        List<Service> services = new ArrayList<>();
        Set<String> serviceNames = new HashSet<>();
        for (JsonObject s : objects(o, "services")) {
            String name = s.getString("name");
            if (!serviceNames.add(name)) {
                problems.add(new ConfigError.SameName(name));
            }
            JsonObject engine = s.get("engine") instanceof JsonObject e ? e : JsonValue.EMPTY_JSON_OBJECT;
            services.add(new Service(
                    name,
                    s.getString("healthPath", "/health"),
                    s.getInt("maxConnections", 100),
                    number(s, "warmupS", 0),
                    number(s, "warmupPerS", 0),
                    (long) number(engine, "cacheTokens", 0),
                    (int) number(engine, "capacity", 0)));
        }
        List<Route> mappings = new ArrayList<>();
        Map<String, String> places = new HashMap<>();
        Set<String> names = new HashSet<>();
        for (JsonObject r : objects(o, "routes")) {
            String name = r.getString("name");
            if (!names.add(name)) {
                problems.add(new ConfigError.SameName(name));
            }
            List<Target> targets = new ArrayList<>();
            if (r.get("weightedTargets") instanceof JsonArray a) {
                double sum = 0;
                for (JsonObject t : a.getValuesAs(JsonObject.class)) {
                    double weight = number(t, "weight", 0);
                    sum += weight;
                    targets.add(new Target(t.getString("service"), weight));
                }
                if (!(sum > 0)) {
                    problems.add(new ConfigError.NoWeight(name));
                }
            } else {
                targets.add(new Target(r.getString("service"), 1));
            }
            for (Target t : targets) {
                if (!serviceNames.contains(t.service())) {
                    problems.add(new ConfigError.UnknownService(name, t.service()));
                }
            }
            String host = r.getString("host");
            String prefix = r.getString("pathPrefix");
            String other = places.put(host.toLowerCase(Locale.ROOT) + " " + prefix, name);
            if (other != null) {
                problems.add(new ConfigError.SamePlace(other, name));
            }
            int deadlineMs = (int) number(r, "deadlineMs", 0);
            if (deadlineMs <= 0) {
                problems.add(new ConfigError.NoDeadline(name));
            }
            Set<String> homes = new TreeSet<>();
            if (r.get("homeRegions") instanceof JsonArray a) {
                a.getValuesAs(JsonString.class).forEach(h -> homes.add(h.getString()));
            }
            Kind kind =
                    switch (r.getString("routeKind", "mutating")) {
                        case "idempotent" -> Kind.IDEMPOTENT;
                        case "streaming" -> Kind.STREAMING;
                        default -> Kind.MUTATING;
                    };
            mappings.add(new Route(
                    name,
                    host,
                    prefix,
                    kind,
                    deadlineMs,
                    (int) number(r, "targetLatencyMs", 1000),
                    (int) number(r, "priority", 0),
                    List.copyOf(targets),
                    Math.max(1, (int) number(r, "maxAttempts", 1)),
                    r.getBoolean("resumable", false),
                    r.getBoolean("sticky", false),
                    (int) number(r, "tokenGapMs", 1000),
                    Set.copyOf(homes)));
        }
        JsonObject l = o.get("limits") instanceof JsonObject x ? x : JsonValue.EMPTY_JSON_OBJECT;
        Limits limits = new Limits(
                (int) number(l, "maxHeaderBytes", 16384),
                (int) number(l, "maxBodyBytes", 4 << 20),
                (int) number(l, "headerTimeoutMs", 3000),
                (int) number(l, "idleTimeoutMs", 15000));
        if (!problems.isEmpty()) {
            return new Invalid<>(problems);
        }
        return new Valid<>(new FleetConfig(o, rev.longValueExact(), mappings, services, limits));
    }

    /** Puts the named items of a PATCH on top of this one and checks the whole; {@code config.patched(patch)}. */
    public Validated<FleetConfig> patched(JsonObject patch) {
        try {
            return patch(patch);
        } catch (ClassCastException | NullPointerException x) {
            return Validated.refused(new ConfigError.Unreadable("a field is missing or of the wrong type"));
        }
    }

    private Validated<FleetConfig> patch(JsonObject patch) {
        if (!(patch.get("revision") instanceof JsonNumber)) {
            return Validated.refused(new ConfigError.Missing("revision"));
        }
        JsonObjectBuilder out = Json.createObjectBuilder(source).add("revision", patch.get("revision"));
        JsonObject upserts = patch.get("upserts") instanceof JsonObject u ? u : JsonValue.EMPTY_JSON_OBJECT;
        JsonObject removals = patch.get("removals") instanceof JsonObject u ? u : JsonValue.EMPTY_JSON_OBJECT;
        Set<String> keys = new TreeSet<>(upserts.keySet());
        keys.addAll(removals.keySet());
        for (String key : keys) {
            if (upserts.get(key) instanceof JsonObject whole) {
                out.add(key, whole);
                continue;
            }
            Map<String, JsonObject> items = new LinkedHashMap<>();
            for (JsonObject i : objects(source, key)) {
                items.put(i.getString("name"), i);
            }
            if (removals.get(key) instanceof JsonArray a) {
                a.getValuesAs(JsonString.class).forEach(n -> items.remove(n.getString()));
            }
            Set<String> seen = new HashSet<>();
            for (JsonObject i : objects(upserts, key)) {
                if (!seen.add(i.getString("name"))) {
                    return Validated.refused(new ConfigError.SameName(i.getString("name")));
                }
                items.put(i.getString("name"), i);
            }
            JsonArrayBuilder list = Json.createArrayBuilder();
            items.values().forEach(list::add);
            out.add(key, list);
        }
        return check(out.build());
    }

    private static List<JsonObject> objects(JsonObject o, String key) {
        JsonArray a = o.getJsonArray(key);
        return a == null ? List.of() : a.getValuesAs(JsonObject.class);
    }

    private static double number(JsonObject o, String key, double otherwise) {
        JsonValue v = o.get(key);
        return v == null || v == JsonValue.NULL ? otherwise : ((JsonNumber) v).doubleValue();
    }

    /** Its version; {@code config.revision()} of the example in the docs is 7. */
    public long revision() {
        return revision;
    }

    /** The limits for consumers; {@code config.limits().bodyBytes()}. */
    public Limits limits() {
        return limits;
    }

    /** A service by name, null if there is none; {@code config.service("huvo11a")}. */
    public Service service(String name) {
        return services.get(name);
    }

    /** All services; {@code config.services().size()}. */
    public Collection<Service> services() {
        return services.values();
    }

    /** All mappings; {@code config.mappings().get(0).name()}. */
    public List<Route> mappings() {
        List<Route> all = new ArrayList<>();
        byHost.values().forEach(all::addAll);
        return all;
    }

    /**
     * The regions that may serve every request of a host: those that are a home of each of its routes that have homes.
     * Empty if none of its routes has homes, or no region is a home of all of these.
     */
    public Set<String> homeRegions(String host) {
        Set<String> common = null;
        for (Route route : routesOf(host)) {
            if (route.homes().isEmpty()) {
                continue;
            }
            if (common == null) {
                common = new HashSet<>(route.homes());
            } else {
                common.retainAll(route.homes());
            }
        }
        return common == null ? Set.of() : common;
    }

    /** The mapping with the longest prefix, null if there is none; {@code config.find("a.example", "/x/2f")}. */
    public Route find(String host, String path) {
        for (Route route : routesOf(host)) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** The routes of a host, longest prefix first. */
    private List<Route> routesOf(String host) {
        if (host == null) {
            return List.of();
        }
        List<Route> routes = byHost.get(host.toLowerCase(Locale.ROOT));
        if (routes == null && host.indexOf(':') > 0) {
            // the port in Host is the node's, not the route's
            routes = byHost.get(host.substring(0, host.lastIndexOf(':')).toLowerCase(Locale.ROOT));
        }
        return routes == null ? List.of() : routes;
    }

    /** The JSON as sent; {@code config.source().getInt("revision")}. */
    public JsonObject source() {
        return source;
    }

    /** Packed JSON, as it is kept and passed on; {@code FleetConfig.unpack(config.packed())}. */
    public byte[] packed() {
        return pack(source.toString().getBytes(UTF_8));
    }

    /** {@code FleetConfig.pack(bytes)} deflates. */
    public static byte[] pack(byte[] plain) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DeflaterOutputStream d = new DeflaterOutputStream(out)) {
            d.write(plain);
        } catch (IOException x) {
            throw new UncheckedIOException(x);
        }
        return out.toByteArray();
    }

    /** {@code FleetConfig.unpack(FleetConfig.pack(b))} equals b. */
    public static byte[] unpack(byte[] packed) {
        try (InflaterInputStream i = new InflaterInputStream(new ByteArrayInputStream(packed))) {
            return i.readAllBytes();
        } catch (IOException x) {
            throw new UncheckedIOException(x);
        }
    }
}
