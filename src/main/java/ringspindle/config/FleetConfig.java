package ringspindle.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;

/** The configuration of the fleet as an operator sends it: valid, immutable, with a revision. */
public final class FleetConfig {
    /**
     * A service that gets a part of a route's requests.
     *
     * @param weight its part, in proportion to the weights of the other targets
     */
    public record Target(String service, double weight) {}

    /**
     * Where the requests of a host and path prefix go, and how.
     *
     * @param deadlineMs milliseconds that a request may take in all
     * @param aimMs the target latency in milliseconds
     * @param priority the rank among requests that wait, 0 being served first
     * @param targets the services, at least one
     * @param maxAttempts how often a request may be sent to engines, at least 1
     * @param resumable whether a broken stream may be resumed on another engine
     * @param sticky whether requests with the same key go to the same engine
     * @param tokenGapMs the longest pause between events, in milliseconds, that keeps an answer in time
     * @param allowedRegions the regions that may serve it
     * @param batch what holds for batch jobs, of a batch route
     * @param isPublic whether requests need no key
     */
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
            AllowedRegions allowedRegions,
            BatchLimits batch,
            boolean isPublic) {
        /** True if a request may safely run more than once. */
        public boolean repeatable() {
            return kind == Kind.IDEMPOTENT || resumable;
        }
    }

    /**
     * What a batch route allows.
     *
     * @param queuedTokensMax tokens of a tenant that may wait, over all nodes; 0 for no limit
     * @param maxWaitS seconds after which an item may be given up, 0 for never
     * @param completionMs milliseconds after which all results of a job are due, 0 for at once
     */
    public record BatchLimits(long queuedTokensMax, int maxWaitS, int completionMs) {
        /** Of a route that limits nothing. */
        public static final BatchLimits NONE = new BatchLimits(0, 0, 0);
    }

    /** What a route's requests do, which decides whether they may be sent again. */
    public enum Kind {
        /** A request may run any number of times. */
        IDEMPOTENT,
        /** A request must not run twice. */
        MUTATING,
        /** The response is a stream of events. */
        STREAMING,
        /** Many requests are submitted together, to be run later. */
        BATCH
    }

    /**
     * Engines that can stand in for each other.
     *
     * @param healthPath the path of their health check
     * @param maxConnections connections that one engine accepts from all callers together
     * @param warmupS seconds of slow start, 0 for none
     * @param warmupPerS requests a second that an engine bears while it warms up
     * @param cacheTokens tokens that an engine's prefix cache holds, 0 if not known
     * @param capacity requests that an engine runs at a time, 0 if not known
     */
    public record Service(
            String name,
            String healthPath,
            int maxConnections,
            double warmupS,
            double warmupPerS,
            long cacheTokens,
            int capacity) {}

    /**
     * What a client may send, in bytes, and how long it may take, in milliseconds.
     *
     * @param headerMs until the header is complete
     * @param idleMs without any byte
     */
    public record Limits(int headerBytes, int bodyBytes, int headerMs, int idleMs) {
        /** Default of {@link #headerMs}, in ms. */
        public static final int DEFAULT_HEADER_MS = 3000;
    }

    /** The field of the document with the list of tenants. */
    static final String TENANTS = "tenants";

    private static final Comparator<Route> LONGEST_PREFIX_FIRST = Comparator.comparingInt(
                    (Route route) -> route.pathPrefix().length())
            .reversed();

    private final JsonObject source;
    private final long revision;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Route> routesByName = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Limits limits;
    private final List<Tenant> tenants;

    FleetConfig(
            JsonObject source,
            long revision,
            List<Route> routes,
            List<Service> services,
            Limits limits,
            List<Tenant> tenants) {
        this.tenants = List.copyOf(tenants);
        this.source = source;
        this.revision = revision;
        this.limits = limits;
        for (Route route : routes) {
            routesByName.put(route.name(), route);
            routesByHost
                    .computeIfAbsent(lowerCase(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        routesByHost.values().forEach(ofHost -> ofHost.sort(LONGEST_PREFIX_FIRST));
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /** Reads a JSON object; duplicate keys are an error. */
    public static Validated<JsonObject> json(byte[] body) {
        return StrictJson.read(body);
    }

    /** Reads and validates a whole configuration. */
    public static Validated<FleetConfig> read(byte[] body) {
        Validated<JsonObject> json = json(body);
        if (json instanceof Invalid<JsonObject> invalid) {
            return new Invalid<>(invalid.errors());
        }
        return check(((Valid<JsonObject>) json).value());
    }

    /** Validates a whole configuration. */
    public static Validated<FleetConfig> check(JsonObject document) {
        return FleetConfigParser.parse(document);
    }

    /** Puts the named items of a patch in place of this configuration's, and validates the result. */
    public Validated<FleetConfig> patched(JsonObject patch) {
        return FleetConfigPatch.apply(patch, source);
    }

    /** The revision, greater than that of the configuration it replaced. */
    public long revision() {
        return revision;
    }

    /** The limits for clients. */
    public Limits limits() {
        return limits;
    }

    /**
     * True if the configuration has a list of tenants: requests then need a key, also while the list is empty or no tenant has a
     * key. Without the list whoever asks is served.
     */
    public boolean requiresKeys() {
        return source.containsKey(TENANTS);
    }

    /** The tenants, none if there is no list of them. */
    public List<Tenant> tenants() {
        return tenants;
    }

    /** A service by its name, null if there is none. */
    public Service service(String name) {
        return services.get(name);
    }

    /** All services, in no order. */
    public Collection<Service> services() {
        return services.values();
    }

    /** All routes; those of a host together, longest prefix first. */
    public List<Route> routes() {
        List<Route> routes = new ArrayList<>();
        routesByHost.values().forEach(routes::addAll);
        return routes;
    }

    /**
     * The route with the longest prefix of a path, null if there is none.
     *
     * @param host the request's Host, with or without a port; null if it has none
     */
    public Route find(String host, String path) {
        for (Route route : routesOf(host)) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** The batch routes of a host; {@code configuration.batchRoutes("a.example").isEmpty()}. */
    public List<Route> batchRoutes(String host) {
        return routesOf(host).stream()
                .filter(route -> route.kind() == Kind.BATCH)
                .toList();
    }

    /** The route of that name, null if there is none. */
    public Route route(String name) {
        return routesByName.get(name);
    }

    /**
     * The regions that may serve every request of a host: those that are a home of each of its routes that have homes.
     *
     * @param host with or without a port; unknown if no route has it
     */
    public AllowedRegions allowedRegions(String host) {
        List<Route> routes = routesOf(host);
        if (routes.isEmpty()) {
            return AllowedRegions.UNKNOWN;
        }
        return routes.stream().map(Route::allowedRegions).reduce(AllowedRegions.ANY, AllowedRegions::and);
    }

    /** The routes of a host, longest prefix first. */
    private List<Route> routesOf(String host) {
        if (host == null) {
            return List.of();
        }
        List<Route> routes = routesByHost.get(lowerCase(host));
        if (routes == null && host.indexOf(':') > 0) {
            // the port in Host is the node's, not the route's
            routes = routesByHost.get(lowerCase(host.substring(0, host.lastIndexOf(':'))));
        }
        return routes == null ? List.of() : routes;
    }

    private static String lowerCase(String host) {
        return host.toLowerCase(Locale.ROOT);
    }

    /** The JSON as sent. */
    public JsonObject source() {
        return source;
    }

    /** The JSON, compressed, as it is stored and passed on. */
    public byte[] packed() {
        return pack(source.toString().getBytes(UTF_8));
    }

    /** Compresses a document. */
    public static byte[] pack(byte[] plain) {
        return Compression.deflate(plain);
    }

    /**
     * The document that was compressed.
     *
     * @throws java.io.UncheckedIOException if {@code packed} is nothing that {@link #pack} made
     */
    public static byte[] unpack(byte[] packed) {
        return Compression.inflate(packed);
    }
}
