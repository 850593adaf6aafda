package ringspindle.api;

/** The calls of openapi.json, one each; a test keeps the two equal. */
public enum Operation {
    RESOLVE("GET", "resolution", ""),
    CONFIG_GET("GET", "configuration", ""),
    CONFIG_PUT("PUT", "configuration", ""),
    CONFIG_PATCH("PATCH", "configuration", ""),
    EVACUATE("POST", "evacuation", "zone"),
    RESTORE("DELETE", "evacuation", "zone"),
    BEAT("PUT", "instances", "id"),
    GONE("DELETE", "instances", "id"),
    STATUS("GET", "status", ""),
    ENGINES("GET", "engines", ""),
    RULES_GET("GET", "rules", ""),
    RULES_PUT("PUT", "rules", ""),
    LEDGER("GET", "ledger", ""),
    ROLLOUTS("GET", "rollouts", ""),
    ROLLOUT("POST", "rollouts", "service"),
    EXPERIMENTS("GET", "experiments", ""),
    EXPERIMENT("POST", "experiments", "name"),
    COUNTERS("GET", "tallies", ""),
    COUNTER_GET("GET", "tallies", "id"),
    COUNTER_ADD("POST", "tallies", "id"),
    VERSION_START("POST", "rollouts", ""),
    VERSION_GET("GET", "rollouts", "service"),
    RETIRE("POST", "retire", "node"),
    RETIREMENT("GET", "retire", "node");

    /** What all paths start with. */
    public static final String BASE = "/ringspindle/";

    private final String method;
    private final String noun;
    private final String arg;

    Operation(String method, String noun, String arg) {
        this.method = method;
        this.noun = noun;
        this.arg = arg;
    }

    /** {@code Operation.BEAT.method()} is PUT. */
    public String method() {
        return method;
    }

    /** {@code Operation.BEAT.template()} is {@code /ringspindle/instances/{id}}. */
    public String template() {
        return BASE + noun + (arg.isEmpty() ? "" : "/{" + arg + "}");
    }

    /** {@code Operation.EVACUATE.path("ahd")} is {@code /ringspindle/evacuation/ahd}. */
    public String path(String value) {
        return BASE + noun + (arg.isEmpty() ? "" : "/" + value);
    }

    /** The call that a method and path name, null for none; {@code Operation.of("GET", "/ringspindle/status")}. */
    public static Operation of(String method, String path) {
        if (!path.startsWith(BASE)) {
            return null;
        }
        String[] part = path.substring(BASE.length()).split("/", -1);
        for (Operation o : values()) {
            if (o.method.equals(method)
                    && o.noun.equals(part[0])
                    && (o.arg.isEmpty() ? part.length == 1 : part.length == 2 && !part[1].isEmpty())) {
                return o;
            }
        }
        return null;
    }

    /** The last part of a path; {@code Operation.arg("/ringspindle/instances/i-1")} is i-1. */
    public static String arg(String path) {
        return path.substring(path.lastIndexOf('/') + 1);
    }
}
