package ringspindle.experiment;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.util.Locale;
import ringspindle.experiment.Experiment.Progress;

/** What the judge in charge orders. */
public sealed interface JudgeOrder {
    /** The counts are about to be looked at; committed first, so that no look is taken twice. */
    record Look(Progress progress) implements JudgeOrder {}

    /** A side is worse: all follow the other one. */
    record Worse(String survivor, String cause) implements JudgeOrder {}

    /** There is harm on all sides: all follow the default policy. */
    record Harm(String cause) implements JudgeOrder {}

    /** The longest time is over without a verdict. */
    record Over(String cause) implements JudgeOrder {}

    /** The counts cannot be trusted: nothing is judged until an operator decides. */
    record Stop(String cause) implements JudgeOrder {}

    /**
     * The order as the head of the chain takes it.
     *
     * @param epoch of the view in which this node is in charge
     * @param id of the experiment that is meant
     */
    default byte[] body(long epoch, long id) {
        JsonObjectBuilder json = JsonProvider.provider()
                .createObjectBuilder()
                .add("order", getClass().getSimpleName().toLowerCase(Locale.ROOT))
                .add("epoch", epoch)
                .add("id", id);
        if (this instanceof Look look) {
            json.add("look", look.progress().looks())
                    .add("requests", look.progress().requests())
                    .add("elapsedS", look.progress().elapsedS());
        } else if (this instanceof Worse worse) {
            json.add("survivor", worse.survivor()).add("cause", worse.cause());
        } else if (this instanceof Harm harm) {
            json.add("cause", harm.cause());
        } else if (this instanceof Over over) {
            json.add("cause", over.cause());
        } else if (this instanceof Stop stop) {
            json.add("cause", stop.cause());
        }
        return json.build().toString().getBytes(UTF_8);
    }
}
