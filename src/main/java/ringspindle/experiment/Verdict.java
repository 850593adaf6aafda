package ringspindle.experiment;

/** What a look at the counts comes to. */
public sealed interface Verdict {
    /** Nothing to act upon yet. */
    record Undecided() implements Verdict {}

    /**
     * A side is worse than the first one, or the first one worse than it, by more than the margin.
     *
     * @param survivor name of the side that is not worse
     * @param evidence the comparison that shows it
     */
    record Worse(String survivor, Comparison evidence) implements Verdict {}

    /** On all sides alike too many requests end badly: the experiment stops without a verdict. */
    record Harm(String route) implements Verdict {}

    /** The sides do not have their shares of the requests, so that what was counted cannot be trusted. */
    record SampleRatio(double expected, double observed) implements Verdict {}
}
