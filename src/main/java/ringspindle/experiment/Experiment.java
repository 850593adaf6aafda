package ringspindle.experiment;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonReader;
import jakarta.json.spi.JsonProvider;
import java.io.StringReader;
import java.util.List;
import java.util.Optional;

/**
 * An experiment as it stands in the control state.
 *
 * @param plan what the operator ordered
 * @param id number of the operation that started it: tells its counts from those of others of the same name
 * @param ramp how much of its range each side holds so far, over 0 and at most 1
 * @param state how far it is
 * @param survivor name of the side whose policy all sessions follow once it is over, empty for the default policy
 * @param cause why it is over or pauses, empty otherwise
 * @param progress how far the judgement is
 */
public record Experiment(
        Plan plan, long id, double ramp, Standing state, String survivor, String cause, Progress progress) {
    private static final JsonProvider JSON = JsonProvider.provider();

    /** How far it is. */
    public enum Standing {
        /** Sessions are divided and judged. */
        RUNNING,
        /** Sessions keep their sides, and nothing is judged until an operator resumes it. */
        PAUSED,
        /** One side was worse, or there was harm: all follow the survivor, or the default policy. */
        HALTED,
        /** It ended without a verdict: all follow the default policy. */
        ENDED,
        /** An operator made the survivor's policy that of all sessions. */
        PROMOTED
    }

    /**
     * What the operator ordered.
     *
     * @param routes names of the routes whose requests take part
     * @param salt makes the division of sessions independent of other experiments
     * @param sides two or more; the first is what the others are compared with
     * @param errorRate probability of halting though no side differs, over all looks, routes and regions together
     * @param margin differences up to this are no reason to halt: of the share of requests that end badly, and of the mean part
     *     of the latency target that a first byte takes
     * @param harm share of requests that end badly on all sides at once beyond which it halts without a verdict
     * @param shortestS no verdict before this, in seconds
     * @param longestS without a verdict it ends after this, in seconds
     */
    public record Plan(
            String name,
            List<String> routes,
            String salt,
            List<Side> sides,
            double errorRate,
            double margin,
            double harm,
            int shortestS,
            int longestS) {}

    /**
     * How far the judgement is; whoever takes the role over goes on from here.
     *
     * @param looks how often the counts were looked at
     * @param requests how many requests had been counted at the last look
     * @param elapsedS for how long it had run at the last look, in seconds
     */
    public record Progress(int looks, long requests, int elapsedS) {
        /** Before the first look. */
        public static final Progress NONE = new Progress(0, 0, 0);
    }

    /** A started experiment. */
    public static Experiment start(Plan plan, double ramp, long id) {
        return new Experiment(plan, id, ramp, Standing.RUNNING, "", "", Progress.NONE);
    }

    /** True while sessions are divided. */
    public boolean isOpen() {
        return state == Standing.RUNNING || state == Standing.PAUSED;
    }

    /** The same, further on. */
    public Experiment with(Standing next, String nextSurvivor, String nextCause) {
        return new Experiment(plan, id, ramp, next, nextSurvivor, nextCause, progress);
    }

    /** The same with wider ranges; they never shrink. */
    public Experiment rampedTo(double next) {
        return new Experiment(plan, id, Math.max(ramp, next), state, survivor, cause, progress);
    }

    /** The same after a look. */
    public Experiment lookedAt(Progress next) {
        return new Experiment(plan, id, ramp, state, survivor, cause, next);
    }

    /** Index of the side that a session is on, {@link SessionAssignment#OUTSIDE} if it is on none or the experiment is over. */
    public int sideOf(String session) {
        return isOpen()
                ? SessionAssignment.side(plan.sides(), ramp, SessionAssignment.bucket(plan.salt(), session))
                : SessionAssignment.OUTSIDE;
    }

    /** The side of that name. */
    public Optional<Side> side(String name) {
        return plan.sides().stream().filter(side -> side.name().equals(name)).findFirst();
    }

    /** The policy of all sessions once it is over: the survivor's, else the default. */
    public Policy finalPolicy() {
        return side(survivor).map(Side::policy).orElse(Policy.DEFAULT);
    }

    /** As JSON; {@code Experiment.read(experiment.write()).write()} is the same. */
    public String write() {
        return JSON.createObjectBuilder()
                .add("plan", planJson())
                .add("id", id)
                .add("ramp", ramp)
                .add("state", state.name())
                .add("survivor", survivor)
                .add("cause", cause)
                .add("looks", progress.looks())
                .add("requests", progress.requests())
                .add("elapsedS", progress.elapsedS())
                .build()
                .toString();
    }

    private JsonObjectBuilder planJson() {
        JsonArrayBuilder sides = JSON.createArrayBuilder();
        for (Side side : plan.sides()) {
            sides.add(JSON.createObjectBuilder()
                    .add("name", side.name())
                    .add("share", side.share())
                    .add("policy", side.policy().source()));
        }
        return JSON.createObjectBuilder()
                .add("name", plan.name())
                .add("routes", JSON.createArrayBuilder(plan.routes()))
                .add("salt", plan.salt())
                .add("sides", sides)
                .add("errorRate", plan.errorRate())
                .add("margin", plan.margin())
                .add("harm", plan.harm())
                .add("shortestS", plan.shortestS())
                .add("longestS", plan.longestS());
    }

    /** Reads what {@link #write} wrote. */
    public static Experiment read(String json) {
        try (JsonReader reader = JSON.createReader(new StringReader(json))) {
            JsonObject fields = reader.readObject();
            return new Experiment(
                    ExperimentDocument.stored(fields.getJsonObject("plan")),
                    fields.getJsonNumber("id").longValue(),
                    fields.getJsonNumber("ramp").doubleValue(),
                    Standing.valueOf(fields.getString("state")),
                    fields.getString("survivor"),
                    fields.getString("cause"),
                    new Progress(
                            fields.getInt("looks"),
                            fields.getJsonNumber("requests").longValue(),
                            fields.getInt("elapsedS")));
        }
    }
}
