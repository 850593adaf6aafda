package ringspindle.experiment;

import java.util.Locale;
import java.util.Optional;
import ringspindle.experiment.Experiment.Plan;
import ringspindle.experiment.Experiment.Progress;
import ringspindle.experiment.Experiment.Standing;
import ringspindle.experiment.OutcomeCollector.Totals;

/**
 * Decides, for whoever is in charge, what to order about one experiment. Looks get rarer as counts grow, so that the error
 * rate lasts. Each look is committed before its counts are judged; whoever takes over does not judge a look that was committed
 * before, as it may have been. Not thread safe.
 */
public final class ExperimentWatch {
    /** Counts are first looked at when there are so many requests. */
    static final int FIRST_LOOK_REQUESTS = 400;
    /** The next look comes when the counts have grown by this factor. */
    static final double LOOK_GROWTH = 1.25;

    private static final int MS_PER_S = 1000;

    private final Plan plan;
    private final HarmGuard harmGuard;
    private final long sinceMs;
    private final int elapsedBeforeS;
    private int judgedLooks;

    /** Watches from now on; what was looked at before is over. */
    public ExperimentWatch(Experiment experiment, long nowMs) {
        plan = experiment.plan();
        harmGuard = new HarmGuard(plan);
        sinceMs = nowMs;
        elapsedBeforeS = experiment.progress().elapsedS();
        judgedLooks = experiment.progress().looks();
    }

    /**
     * What to order now, if anything.
     *
     * @param experiment as it is committed
     * @param regions how many regions there are
     */
    public Optional<JudgeOrder> next(Experiment experiment, Totals totals, int regions, long nowMs) {
        if (experiment.state() != Standing.RUNNING) {
            return Optional.empty();
        }
        Optional<Verdict.Harm> harm = harmGuard.check(totals, nowMs);
        if (harm.isPresent()) {
            return Optional.of(
                    new JudgeOrder.Harm("all sides end badly on " + harm.get().route()));
        }
        Progress progress = experiment.progress();
        if (progress.looks() > judgedLooks) {
            judgedLooks = progress.looks();
            Optional<JudgeOrder> verdict = order(new Judge(plan, progress.looks(), regions).judge(totals));
            if (verdict.isPresent()) {
                return verdict;
            }
        }
        int elapsedS = elapsedBeforeS + (int) ((nowMs - sinceMs) / MS_PER_S);
        if (elapsedS >= plan.longestS()) {
            return Optional.of(new JudgeOrder.Over("no difference within " + plan.longestS() + " s"));
        }
        return lookDue(progress, totals, elapsedS)
                ? Optional.of(new JudgeOrder.Look(new Progress(progress.looks() + 1, totals.requests(), elapsedS)))
                : Optional.empty();
    }

    private boolean lookDue(Progress progress, Totals totals, int elapsedS) {
        double wanted = Math.max(FIRST_LOOK_REQUESTS, progress.requests() * LOOK_GROWTH);
        return totals.consistent() && elapsedS >= plan.shortestS() && totals.requests() >= wanted;
    }

    private Optional<JudgeOrder> order(Verdict verdict) {
        if (verdict instanceof Verdict.Worse worse) {
            return Optional.of(new JudgeOrder.Worse(worse.survivor(), text(worse.evidence())));
        }
        if (verdict instanceof Verdict.SampleRatio ratio) {
            return Optional.of(new JudgeOrder.Stop(String.format(
                    Locale.ROOT, "a side has %.4f of the requests, not %.4f", ratio.observed(), ratio.expected())));
        }
        return Optional.empty();
    }

    private String text(Comparison evidence) {
        String worse =
                plan.sides().get(evidence.sideIsWorse() ? evidence.side() : 0).name();
        return String.format(
                Locale.ROOT,
                "%s is worse on %s in %s: %s differs by %.4f, give or take %.4f",
                worse,
                evidence.route(),
                evidence.region(),
                evidence.measure().name().toLowerCase(Locale.ROOT),
                Math.abs(evidence.difference()),
                evidence.radius());
    }
}
