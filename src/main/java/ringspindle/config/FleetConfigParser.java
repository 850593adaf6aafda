package ringspindle.config;

import static ringspindle.config.StrictJson.integer;
import static ringspindle.config.StrictJson.number;
import static ringspindle.config.StrictJson.object;
import static ringspindle.config.StrictJson.objects;

import com.google.common.hash.HashCode;
import jakarta.json.JsonArray;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import ringspindle.config.FleetConfig.BatchLimits;
import ringspindle.config.FleetConfig.Kind;
import ringspindle.config.FleetConfig.Limits;
import ringspindle.config.FleetConfig.Route;
import ringspindle.config.FleetConfig.Service;
import ringspindle.config.FleetConfig.Target;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;

/** Makes a configuration of its JSON, and collects all errors on the way. */
final class FleetConfigParser {
    private static final String HOME_REGIONS = "homeRegions";
    private static final String DEFAULT_HEALTH_PATH = "/health";
    private static final int DEFAULT_MAX_CONNECTIONS = 100;
    private static final int DEFAULT_TARGET_LATENCY_MS = 1000;
    private static final int DEFAULT_TOKEN_GAP_MS = 1000;
    private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
    private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_IDLE_TIMEOUT_MS = 15_000;

    private final List<ConfigError> errors = new ArrayList<>();
    private final Set<String> serviceNames = new HashSet<>();
    private final Set<String> routeNames = new HashSet<>();
    private final Set<String> tenantNames = new HashSet<>();
    /** Name of the tenant that holds each key, by the key's digest. */
    private final Map<HashCode, String> keyHolders = new HashMap<>();
    /** Name of the route of each host and prefix. */
    private final Map<String, String> routesByPlace = new HashMap<>();

    private FleetConfigParser() {}

    static Validated<FleetConfig> parse(JsonObject document) {
        try {
            return new FleetConfigParser().config(document);
        } catch (ClassCastException | NullPointerException | ArithmeticException malformed) {
            return Validated.refused(ConfigError.Unreadable.WRONG_FIELD);
        }
    }

    private Validated<FleetConfig> config(JsonObject document) {
        if (!(document.get("revision") instanceof JsonNumber revision) || !revision.isIntegral()) {
            return Validated.refused(new ConfigError.Missing("revision"));
        }
        // services come first, as routes name them
        List<Service> services = new ArrayList<>();
        objects(document, "services").forEach(json -> services.add(service(json)));
        List<Route> routes = new ArrayList<>();
        objects(document, "routes").forEach(json -> routes.add(route(json)));
        Limits limits = limits(object(document, "limits"));
        List<Tenant> tenants = new ArrayList<>();
        objects(document, FleetConfig.TENANTS).forEach(json -> tenants.add(tenant(json)));
        if (!errors.isEmpty()) {
            return new Invalid<>(errors);
        }
        return new Valid<>(new FleetConfig(document, revision.longValueExact(), routes, services, limits, tenants));
    }

    private Service service(JsonObject json) {
        String name = uniqueName(json, serviceNames);
        JsonObject engine = object(json, "engine");
        return new Service(
                name,
                json.getString("healthPath", DEFAULT_HEALTH_PATH),
                json.getInt("maxConnections", DEFAULT_MAX_CONNECTIONS),
                number(json, "warmupS", 0),
                number(json, "warmupPerS", 0),
                (long) number(engine, "cacheTokens", 0),
                integer(engine, "capacity", 0));
    }

    private Route route(JsonObject json) {
        String name = uniqueName(json, routeNames);
        List<Target> targets = targets(json, name);
        String host = json.getString("host");
        String prefix = json.getString("pathPrefix");
        String other = routesByPlace.put(host.toLowerCase(Locale.ROOT) + " " + prefix, name);
        if (other != null) {
            errors.add(new ConfigError.DuplicateRoute(other, name));
        }
        int deadlineMs = integer(json, "deadlineMs", 0);
        if (deadlineMs <= 0) {
            errors.add(new ConfigError.NoDeadline(name));
        }
        return new Route(
                name,
                host,
                prefix,
                kind(json),
                deadlineMs,
                integer(json, "targetLatencyMs", DEFAULT_TARGET_LATENCY_MS),
                integer(json, "priority", 0),
                targets,
                Math.max(1, integer(json, "maxAttempts", 1)),
                json.getBoolean("resumable", false),
                json.getBoolean("sticky", false),
                integer(json, "tokenGapMs", DEFAULT_TOKEN_GAP_MS),
                allowedRegions(json, "route " + name),
                new BatchLimits(
                        (long) number(json, "maxQueuedTokens", 0),
                        integer(json, "maxWaitS", 0),
                        integer(json, "targetCompletionMs", 0)),
                json.getBoolean("public", false));
    }

    private String uniqueName(JsonObject json, Set<String> names) {
        String name = json.getString("name");
        if (!names.add(name)) {
            errors.add(new ConfigError.SameName(name));
        }
        return name;
    }

    private List<Target> targets(JsonObject route, String routeName) {
        List<Target> targets = new ArrayList<>();
        if (route.get("weightedTargets") instanceof JsonArray weighted) {
            double sum = 0;
            for (JsonObject json : weighted.getValuesAs(JsonObject.class)) {
                double weight = number(json, "weight", 0);
                sum += weight;
                targets.add(new Target(json.getString("service"), weight));
            }
            // written so that a sum that is no number is refused too
            if (!(sum > 0)) {
                errors.add(new ConfigError.NoWeight(routeName));
            }
        } else {
            targets.add(new Target(route.getString("service"), 1));
        }
        for (Target target : targets) {
            if (!serviceNames.contains(target.service())) {
                errors.add(new ConfigError.UnknownService(routeName, target.service()));
            }
        }
        return List.copyOf(targets);
    }

    /** Where a route may be served. What cannot be read must not pass for leave to serve it anywhere. */
    private AllowedRegions allowedRegions(JsonObject route, String owner) {
        JsonValue value = route.get(HOME_REGIONS);
        if (value == null) {
            return AllowedRegions.ANY;
        }
        if (value instanceof JsonArray array && array.stream().allMatch(JsonString.class::isInstance)) {
            Set<String> homes = new HashSet<>();
            array.getValuesAs(JsonString.class).forEach(region -> homes.add(region.getString()));
            return homes.isEmpty() ? AllowedRegions.ANY : new AllowedRegions.Only(Set.copyOf(homes));
        }
        String key = HOME_REGIONS + " of " + owner;
        errors.add(new ConfigError.InvalidValue(key, value.toString(), "a list of names of regions"));
        return AllowedRegions.UNKNOWN;
    }

    private Tenant tenant(JsonObject json) {
        String name = uniqueName(json, tenantNames);
        Set<HashCode> digests = new HashSet<>();
        if (json.get("apiKeys") instanceof JsonArray keys) {
            for (JsonString key : keys.getValuesAs(JsonString.class)) {
                HashCode digest = Tenant.digest(key.getString());
                digests.add(digest);
                String other = keyHolders.put(digest, name);
                if (other != null && !other.equals(name)) {
                    errors.add(new ConfigError.SharedKey(other, name));
                }
            }
        }
        double ratePerS = number(json, "ratePerS", 0);
        double burstSize = number(json, "burstSize", 0);
        if (ratePerS < 0 || burstSize < 0) {
            errors.add(new ConfigError.OutOfRange("ratePerS and burstSize of tenant " + name, "below 0", "0 or more"));
        }
        return new Tenant(
                name,
                Set.copyOf(digests),
                integer(json, "priority", 0),
                ratePerS,
                burstSize,
                allowedRegions(json, "tenant " + name));
    }

    private static Kind kind(JsonObject route) {
        return switch (route.getString("routeKind", "mutating")) {
            case "idempotent" -> Kind.IDEMPOTENT;
            case "streaming" -> Kind.STREAMING;
            case "batch" -> Kind.BATCH;
            default -> Kind.MUTATING;
        };
    }

    private static Limits limits(JsonObject json) {
        return new Limits(
                integer(json, "maxHeaderBytes", DEFAULT_MAX_HEADER_BYTES),
                integer(json, "maxBodyBytes", DEFAULT_MAX_BODY_BYTES),
                integer(json, "headerTimeoutMs", FleetConfig.Limits.DEFAULT_HEADER_MS),
                integer(json, "idleTimeoutMs", DEFAULT_IDLE_TIMEOUT_MS));
    }
}
